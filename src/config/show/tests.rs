use super::*;

fn base() -> Settings {
    let text = "host_name = \"n0\"\nbind = \"127.0.0.1:1\"\ncluster_listen = \"127.0.0.1:2\"\n\
                [outside]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n\
                [[cluster.teams]]\nname = \"red\"\ncpus = 8.0\ncpus_max = 16.0\n";
    Settings::parse(text, "test").unwrap().0
}

#[test]
fn shows_origins_of_values_and_differences() {
    let base = base();
    let blue = TeamEntry {
        name: "blue".into(),
        cpus: 1.0,
        ..TeamEntry::default()
    };
    let document = Document {
        teams: vec![blue],
        ..Document::default()
    };
    let stored = CurrentConfig {
        document: document.clone(),
        ..CurrentConfig::default()
    };
    let shown = current(&stored, &base);
    let line = |name: &str| {
        let mut lines = shown.lines();
        lines
            .find(|line| line.trim_start().starts_with(name))
            .unwrap()
            .to_string()
    };
    assert!(line("red").contains("16") && line("red").contains("the platform's file"));
    assert!(line("blue").contains("none") && line("blue").contains("version 0"));
    let change = differences(&Document::default(), &document, &base);
    assert_eq!(change, "team blue: absent -> 1 none 0 none\n");
    assert_eq!(differences(&document, &document, &base), "no difference\n");
}
