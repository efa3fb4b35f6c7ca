//! Flags are validated at the start; errors contain the flag, the value and what was expected.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pistachio-broker"));
    command.args(args).env_clear().output().expect("the binary starts")
}

#[test]
fn help_and_version_are_printed() {
    let help = run(&["--help"]);
    assert!(help.status.success());
    let text = String::from_utf8_lossy(&help.stdout).into_owned();
    assert!(text.contains("--listen") && text.contains("PISTACHIO_LISTEN"), "{text}");
    assert!(run(&["--version"]).status.success());
}

#[test]
fn errors_contain_flag_value_and_expectation() {
    for (flag, value, expected) in [
        ("--listen", "nowhere", "IP address and a port"),
        ("--domain", "Perth 1", "a-z, 0-9 and -"),
    ] {
        let output = run(&[flag, value]);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.contains(flag) && text.contains(value) && text.contains(expected), "{text}");
    }
}
