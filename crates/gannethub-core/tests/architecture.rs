//! Checks that the names of functions, types and modules on the architecture page occur in the sources.

use std::collections::HashSet;
use std::path::Path;

/// Adds all words and file names of the sources below a folder to `words`.
fn words_below(folder: &Path, words: &mut HashSet<String>) {
    for entry in std::fs::read_dir(folder).expect("cannot read the folder") {
        let path = entry.expect("cannot read a folder entry").path();
        if path.is_dir() {
            words_below(&path, words);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("cannot read a source file");
        let split = text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
        words.extend(split.map(str::to_string));
        let stem = path.file_stem().and_then(|stem| stem.to_str());
        words.extend(stem.map(str::to_string));
    }
}

/// Returns the identifiers in the code spans of a page, such as `function_name` and `Type::function_name`. Paths,
/// commands, keys and words of lower-case letters alone are left out.
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
fn names_on_the_architecture_page_exist_in_the_sources() {
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
    let page =
        std::fs::read_to_string(root.join("ARCHITECTURE.md")).expect("cannot read ARCHITECTURE.md");
    // Diagrams in fenced blocks are not code spans.
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
