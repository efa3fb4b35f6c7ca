//! The command line for operators, run against a stand-in of the platform.

use std::process::{Command, Output};
use std::time::Duration;

use standin::{Faults, Platform};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pistachioctl"));
    command.args(args).env_clear().output().expect("the binary starts")
}

async fn run_async(args: Vec<String>) -> Output {
    let run = move || run(&args.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(run).await.expect("the command ran")
}

fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    out + &String::from_utf8_lossy(&output.stderr)
}

fn example() -> &'static str {
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/consortium.rules")
}

#[test]
fn check_reports_every_error_and_accepts_the_examples() {
    let path = std::env::temp_dir().join(format!("faults-{}.rules", std::process::id()));
    let invalid =
        "domain a # asked by: x\nservice b --shards 0 --replicas 1 # asked by: x\nlimit c\n";
    std::fs::write(&path, invalid).expect("the file is written");
    let output = run(&["check", &path.to_string_lossy()]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(output.status.code(), Some(1));
    let all = text(&output);
    assert!(all.contains("2 errors") && all.contains(":2:") && all.contains(":3:"), "{all}");
    assert!(run(&["check", example()]).status.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn edits_are_applied_shown_explained_and_checked_for_conflicts() {
    let any = "127.0.0.1:0".parse().expect("a valid address");
    let platform = Platform::start(any, Duration::ZERO).await.expect("the platform starts");
    let address = platform.address().to_string();
    let args = |words: &[&str]| {
        let mut args: Vec<String> = words.iter().map(ToString::to_string).collect();
        args.extend(["--platform".into(), address.clone()]);
        args
    };
    let done = run_async(args(&["apply", example(), "--by", "ann"])).await;
    assert!(done.status.success(), "{}", text(&done));
    let done = run_async(args(&["domain", "out", "perth-2", "--by", "bob"])).await;
    assert!(done.status.success(), "{}", text(&done));
    let shown = text(&run_async(args(&["show"])).await);
    assert!(shown.contains("domain perth-2 --out # asked by: bob"), "{shown}");
    let explained = text(&run_async(args(&["explain", "live-faults"])).await);
    assert!(explained.contains("perth-2 is out") && explained.contains("asked by hazard desk"));
    // The file is based on revision 1, but bob's edit made revision 2.
    let conflict = run_async(args(&["apply", example(), "--by", "ann", "--base", "1"])).await;
    assert_eq!(conflict.status.code(), Some(3), "{}", text(&conflict));
    assert!(text(&conflict).contains("conflict with an edit by bob"), "{}", text(&conflict));
    let unknown = run_async(args(&["domain", "out", "perth-9", "--by", "bob"])).await;
    assert!(text(&unknown).contains("domain \"perth-9\" does not exist"), "{}", text(&unknown));
    platform.set_faults(Faults { down: true, ..Faults::default() });
    let failed = run_async(args(&["domain", "in", "perth-2", "--by", "bob"])).await;
    assert_eq!(failed.status.code(), Some(1));
    assert!(text(&failed).contains("nothing was changed"), "{}", text(&failed));
}

#[tokio::test(flavor = "multi_thread")]
async fn routes_are_checked_and_explained() {
    let any = "127.0.0.1:0".parse().expect("a valid address");
    let platform = Platform::start(any, Duration::ZERO).await.expect("the platform starts");
    let address = platform.address().to_string();
    let path = std::env::temp_dir().join(format!("routes-{}.rules", std::process::id()));
    let rules = "\
domain perth-1 # asked by: platform team
service north --shards 1 --replicas 2 # asked by: hazard desk
service south --shards 1 --replicas 2 # asked by: hazard desk
route sweep --host faults.example --prefix /sweep/ --repeatable # asked by: hazard desk
gather sweep --shards north,south --records 20 --least-percent 50 # asked by: dispatch
route book --host faults.example --prefix /book/ # asked by: crew office
split book --service north --weight 3 # asked by: crew office
split book --service south --weight 1 # asked by: crew office
";
    std::fs::write(&path, rules).expect("the file is written");
    let file = path.to_string_lossy().into_owned();
    let checked = text(&run(&["check", &file]));
    assert!(checked.contains("2 services, 1 domains, 2 routes"), "{checked}");
    let words = ["apply", &file, "--by", "ann", "--platform", &address];
    let done = run_async(words.iter().map(ToString::to_string).collect()).await;
    std::fs::remove_file(&path).expect("the file is there");
    assert!(done.status.success(), "{}", text(&done));
    let explain = |name: &str| {
        let words = ["explain", name, "--platform", &address];
        run_async(words.iter().map(ToString::to_string).collect())
    };
    let sweep = text(&explain("sweep").await);
    assert!(sweep.contains("2 shards; answers need 1 of them and hold 20 records"), "{sweep}");
    assert!(sweep.contains("line 5, asked by dispatch"), "{sweep}");
    let book = text(&explain("book").await);
    assert!(book.contains("75.0% of requests go to north"), "{book}");
    let north = text(&explain("north").await);
    assert!(north.contains("route sweep: faults.example/sweep/"), "{north}");
    let unknown = explain("west").await;
    assert!(text(&unknown).contains("no service or route named \"west\""), "{}", text(&unknown));
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_is_reported_as_accepted_although_the_answer_was_lost() {
    let any = "127.0.0.1:0".parse().expect("a valid address");
    let platform = Platform::start(any, Duration::ZERO).await.expect("the platform starts");
    platform.set_faults(Faults { lose_answers: true, ..Faults::default() });
    let words = ["apply", example(), "--by", "ann", "--platform", &platform.address().to_string()];
    let done = run_async(words.iter().map(ToString::to_string).collect()).await;
    assert!(done.status.success(), "{}", text(&done));
    assert!(text(&done).contains("accepted as revision 1"), "{}", text(&done));
}
