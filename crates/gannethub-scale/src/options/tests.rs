use clap::Parser;

use super::*;

#[derive(Parser)]
struct Line {
    #[command(flatten)]
    run: RunOptions,
}

fn refused(arguments: &[&str]) -> String {
    let mut line = Line::parse_from([&["run"], arguments].concat());
    if !arguments.contains(&"--program") {
        line.run.program = "/bin/sh".into();
    }
    let checked = line.run.check(&Load::read(None).unwrap());
    checked.map_or_else(|e| e.to_string(), |()| "fine".into())
}

#[test]
fn what_cannot_be_is_refused_by_the_name_of_its_option() {
    assert_eq!(refused(&[]), "fine");
    assert!(refused(&["--workers", "9"]).starts_with("--workers: 9 are too few"));
    assert!(refused(&["--real", "4"]).starts_with("--real: at least 8"));
    assert!(refused(&["--real", "30"]).contains("processes would be needed, over 300"));
    assert!(refused(&["--workers", "900000"]).contains("--workers, --"));
    assert!(refused(&["--warm-up", "120"]).starts_with("--warm-up: "));
    assert!(refused(&["--starts=-1"]).starts_with("--starts: "));
    assert!(refused(&["--program", "/nowhere"]).starts_with("--program: "));
}
