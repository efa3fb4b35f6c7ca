//! Rule files with and without faults.

use std::time::Duration;

#[test]
fn all_faults_are_listed_with_their_lines() {
    let text = "\
domain perth-1 # asked by: a
service live-faults --shards 0 --replicas 2 # asked by: b
limit nowhere --slots 2 --connections 25 # asked by: c
domain perth-1 --out # asked by: d
service crew --shards 3 --replicas 2
limit crew --slots 2 --conections 9 # asked by: e
";
    let error = rules::parse("five.rules", text).expect_err("the file has five faults");
    let lines: Vec<u32> = error.list().iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [2, 3, 4, 5, 6]);
    let all = error.to_string();
    for part in ["five.rules:2:", "--shards", "\"nowhere\"", "named twice", "names nobody"] {
        assert!(all.contains(part), "{part} is missing from {all}");
    }
    assert!(all.contains("--conections"), "{all}");
}

#[test]
fn limits_and_deadlines_are_read() {
    let text = "\
limit pay --slots 6 --connections 50 --cold-slots 2 --connect-cost-ms 1 # asked by: a
service pay --shards 1 --replicas 4 # asked by: a
deadline pay --default-ms 300 --max-ms 900 # asked by: a
domain poznan-1 # asked by: a
";
    let rules = rules::parse("x", text).expect("the file has no fault");
    let pay = &rules.services["pay"];
    assert_eq!((pay.limit.slots, pay.limit.cold_slots), (6, 2));
    assert_eq!(pay.max_deadline, Duration::from_millis(900));
}

#[test]
fn domain_edit_keeps_other_lines() {
    let text = "## top\ndomain a # asked by: x\ndomain b # asked by: y\n";
    let out = rules::set_domain(text, "b", true, "night\n# operator").expect("b is named");
    assert!(out.starts_with("## top\ndomain a # asked by: x\ndomain b --out # asked by: night"));
    assert!(rules::parse("x", &out).expect("still without fault").domains["b"].out);
    assert!(rules::set_domain(text, "c", true, "x").is_err());
}
