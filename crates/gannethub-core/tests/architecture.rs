//! The page on the architecture names functions, types and modules of the core: each of them is there.

use std::collections::HashSet;
use std::path::Path;

/// All words of the sources below a folder.
fn words_below(folder: &Path, words: &mut HashSet<String>) {
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let path = entry.expect("it can be read").path();
        if path.is_dir() {
            words_below(&path, words);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("it is text");
        let split = text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
        words.extend(split.map(str::to_string));
        let stem = path.file_stem().and_then(|stem| stem.to_str());
        words.extend(stem.map(str::to_string));
    }
}

/// The identifiers in the code spans of a page: `name` and `Type::name`, and no paths, commands or keys.
fn identifiers(page: &str) -> Vec<&str> {
    let is_identifier = |name: &&str| {
        let mut characters = name.chars();
        characters.next().is_some_and(|c| c.is_ascii_alphabetic())
            && characters.all(|c| c.is_ascii_alphanumeric() || c == '_')
            && (name.contains('_') || name.contains(|c: char| c.is_ascii_uppercase()))
    };
    let spans = page.split('`').skip(1).step_by(2);
    spans
        .filter(|span| !span.contains(['/', ' ', '.']))
        .flat_map(|span| span.split("::"))
        .filter(is_identifier)
        .collect()
}

#[test]
fn names_on_the_architecture_page_are_in_the_sources() {
    let core = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = core.join("../..");
    let mut words = HashSet::new();
    for folder in [
        "crates/gannethub-core/src",
        "crates/gannethub-ledger/src",
        "src",
    ] {
        words_below(&root.join(folder), &mut words);
    }
    let page = std::fs::read_to_string(root.join("ARCHITECTURE.md")).expect("the page is there");
    // Blocks of diagrams are no code spans.
    let text: Vec<&str> = page.split("```").step_by(2).collect();
    let text = text.concat();
    let named = identifiers(&text);
    assert!(named.len() > 60, "{} names", named.len());
    let missing: Vec<&&str> = named
        .iter()
        .filter(|name| !words.contains(**name))
        .collect();
    assert!(missing.is_empty(), "not in the sources: {missing:?}");
}
