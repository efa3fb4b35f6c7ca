//! Valid and invalid rule files.

use std::time::Duration;

use table::Target;

#[test]
fn all_errors_are_listed_with_their_lines() {
    let text = "\
domain perth-1 # asked by: a
service live-faults --shards 0 --replicas 2 # asked by: b
limit nowhere --slots 2 --connections 25 # asked by: c
domain perth-1 --out # asked by: d
service crew --shards 3 --replicas 2
limit crew --slots 2 --conections 9 # asked by: e
";
    let error = rules::parse("five.rules", text).expect_err("the file has five errors");
    let lines: Vec<u32> = error.diagnostics().iter().map(|diagnostic| diagnostic.line).collect();
    assert_eq!(lines, [2, 3, 4, 5, 6]);
    let all = error.to_string();
    for part in ["five.rules:2:", "--shards", "\"nowhere\"", "defined twice", "names no requester"]
    {
        assert!(all.contains(part), "{part} is missing from {all}");
    }
    assert!(all.contains("--conections"), "{all}");
}

#[test]
fn limits_and_deadlines_are_parsed() {
    let text = "\
limit pay --slots 6 --connections 50 --cold-slots 2 --connect-cost-ms 1 # asked by: a
service pay --shards 1 --replicas 4 # asked by: a
deadline pay --default-ms 300 --max-ms 900 # asked by: a
domain poznan-1 # asked by: a
";
    let rules = rules::parse("x", text).expect("the file is valid");
    let pay = &rules.services["pay"];
    assert_eq!((pay.limit.slots, pay.limit.cold_slots), (6, 2));
    assert_eq!(pay.max_deadline, Duration::from_millis(900));
}

#[test]
fn domain_edit_leaves_other_lines_unchanged() {
    let text = "## top\ndomain a # asked by: x\ndomain b # asked by: y\n";
    let out = rules::set_domain(text, "b", true, "night\n# operator").expect("domain b exists");
    assert!(out.starts_with("## top\ndomain a # asked by: x\ndomain b --out # asked by: night"));
    assert!(rules::parse("x", &out).expect("the edited file is valid").domains["b"].out);
    assert!(rules::set_domain(text, "c", true, "x").is_err());
}

const SERVICES: &str = "\
domain a # asked by: x
service one --shards 1 --replicas 2 # asked by: x
service two --shards 1 --replicas 2 # asked by: x
";

#[test]
fn routes_of_each_kind_are_parsed() {
    let text = format!(
        "{SERVICES}\
gather all --shards one,two --records 20 --least-percent 50 # asked by: d
route all --host s.example --prefix /all/ --repeatable --attempts 2 --timeout-ms 900 --objective-ms 80 --priority 1 # asked by: a
route plain --host s.example --prefix / --service one # asked by: b
split halves --service one --weight 3 # asked by: e
split halves --service two --weight 1 # asked by: f
route halves --host s.example --prefix /h/ # asked by: c
"
    );
    let rules = rules::parse("x", &text).expect("the file is valid");
    let all = &rules.routes["all"];
    assert_eq!(all.services(), ["one", "two"]);
    assert_eq!((all.route.attempts, all.route.priority), (2, 1));
    assert_eq!(all.route.timeout, Duration::from_millis(900));
    assert_eq!(all.route.objective, Duration::from_millis(80));
    let Target::Gather(gather) = &all.route.target else { panic!("expected a gather") };
    assert_eq!((gather.top_k, gather.min_shards()), (20, 1));
    assert_eq!(rules.routes["plain"].route.target, Target::Service("one".into()));
    assert!(!rules.routes["plain"].route.idempotent);
    let Target::Split(shares) = &rules.routes["halves"].route.target else {
        panic!("expected a split")
    };
    let weights: Vec<_> = shares.iter().map(|share| share.weight).collect();
    assert_eq!(weights, [3.0, 1.0]);
    assert_eq!(rules.routes["halves"].asked_by.len(), 3);
}

#[test]
fn errors_of_routes_state_the_cause() {
    for (rule, cause) in [
        ("route r --host s.example --prefix all/ --service one", "a slash"),
        ("route r --host S.example --prefix /a/ --service one", "a-z"),
        ("route r --host s.example --prefix /a/", "no target"),
        ("route r --host s.example --prefix /a/ --service nine", "\"nine\", which does not exist"),
        (
            "route r --host s.example --prefix /a/ --service one --timeout-ms 5 --objective-ms 6",
            "at most --timeout-ms",
        ),
        ("split nowhere --service one --weight 1", "\"nowhere\" does not exist"),
        ("split plain --service one --weight 1", "has a target already"),
        ("gather plain --shards one,two --records 2", "has a target already"),
        ("gather plain --shards one --records 0", "--records"),
        ("gather once --shards one,two --records 2", "expected --repeatable"),
        ("gather often --shards one,one --records 2", "\"one\" is named twice"),
        ("route plain --host t.example --prefix /a/ --service one", "defined twice"),
        ("route other --host s.example --prefix /plain/ --service one", "host and prefix"),
    ] {
        let routes = "\
route plain --host s.example --prefix /plain/ --service one # asked by: x
route once --host s.example --prefix /once/ # asked by: x
route often --host s.example --prefix /often/ --repeatable # asked by: x
";
        let text = format!("{SERVICES}{routes}{rule} # asked by: y\n");
        let error = rules::parse("x", &text).expect_err(rule).to_string();
        assert!(error.contains(cause), "{rule}: {error}");
    }
}
