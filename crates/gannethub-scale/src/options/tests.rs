use clap::Parser;

use super::*;

#[derive(Parser)]
struct CommandLine {
    #[command(flatten)]
    run: RunOptions,
}

fn check_message(arguments: &[&str]) -> String {
    let mut command_line = CommandLine::parse_from([&["run"], arguments].concat());
    if !arguments.contains(&"--program") {
        command_line.run.program = "/bin/sh".into();
    }
    let checked = command_line.run.check(&Load::read(None).unwrap());
    checked.map_or_else(|e| e.to_string(), |()| "fine".into())
}

#[test]
fn invalid_options_are_refused_by_name() {
    assert_eq!(check_message(&[]), "fine");
    assert!(check_message(&["--workers", "9"]).starts_with("--workers: 9 is too few"));
    assert!(check_message(&["--real", "4"]).starts_with("--real: at least 8"));
    assert!(check_message(&["--real", "30"]).contains("processes would be needed, more than 300"));
    assert!(check_message(&["--workers", "900000"]).contains("--workers, --"));
    assert!(check_message(&["--warm-up", "120"]).starts_with("--warm-up: "));
    assert!(check_message(&["--starts=-1"]).starts_with("--starts: "));
    assert!(check_message(&["--program", "/nowhere"]).starts_with("--program: "));
}
