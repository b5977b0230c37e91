//! Which folder may import which: each one only those below it.

use std::path::{Path, PathBuf};

const LAYERS: [&str; 5] = ["wire", "state", "scheduling", "reconcile", "controller"];

/// Folders of the core that a file names in a path.
fn named(text: &str) -> impl Iterator<Item = &str> {
    text.split("crate::").skip(1).filter_map(|rest| {
        let end = rest
            .find(|c: char| !c.is_ascii_lowercase())
            .unwrap_or(rest.len());
        LAYERS.into_iter().find(|l| *l == &rest[..end])
    })
}

/// All files below a folder.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let path = entry.expect("it can be read").path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else {
            files.push(path);
        }
    }
    files
}

#[test]
fn modules_import_downwards_only() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let rank = |layer: &str| LAYERS.iter().position(|l| *l == layer).expect("a layer");
    let (mut read, mut upward) = (0, Vec::new());
    for layer in LAYERS {
        for path in source_files(&src.join(layer)) {
            let text = std::fs::read_to_string(&path).expect("it is text");
            read += 1;
            let above = named(&text).filter(|other| rank(other) > rank(layer));
            upward.extend(above.map(|other| format!("{} names {other}", path.display())));
        }
    }
    // What lies beside the folders is below them all.
    for module in [
        "configuration",
        "http",
        "model",
        "policy",
        "saga",
        "settings",
    ] {
        let mut paths = vec![src.join(format!("{module}.rs"))];
        let folder = src.join(module);
        if folder.is_dir() {
            paths.extend(source_files(&folder));
        }
        for path in paths {
            let text = std::fs::read_to_string(&path).expect("a module");
            read += 1;
            upward.extend(named(&text).map(|other| format!("{} names {other}", path.display())));
        }
    }
    assert!(read > 25, "{read} files");
    assert_eq!(upward, Vec::<String>::new());
}
