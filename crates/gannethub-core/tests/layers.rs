//! Checks the imports between modules of the core: a folder imports only lower layers, and no files import each other
//! in a cycle.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Folders of the core, from the lowest layer to the highest.
const LAYERS: [&str; 5] = ["wire", "state", "scheduling", "reconcile", "controller"];

/// Path of a module from the root of the crate.
type ModulePath = Vec<String>;

/// Files that each file imports, by the paths of their modules.
type Imports = BTreeMap<ModulePath, BTreeSet<ModulePath>>;

/// Returns the layers that a file's text names in `crate::` paths.
fn named_layers(text: &str) -> impl Iterator<Item = &str> {
    text.split("crate::").skip(1).filter_map(|rest| {
        let end = rest
            .find(|c: char| !c.is_ascii_lowercase())
            .unwrap_or(rest.len());
        LAYERS.into_iter().find(|l| *l == &rest[..end])
    })
}

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("cannot read the folder") {
        let path = entry.expect("cannot read a folder entry").path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else {
            files.push(path);
        }
    }
    files
}

fn source_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// Returns the path of the module that a file of the core contains. The root of the crate has an empty path.
fn module_of(file: &Path, src: &Path) -> ModulePath {
    let relative = file.strip_prefix(src).expect("a file of the core");
    let path = relative.with_extension("");
    let mut module: ModulePath = path
        .iter()
        .map(|part| part.to_string_lossy().into_owned())
        .collect();
    if module.last().is_some_and(|name| name == "mod") || module == ["lib"] {
        module.pop();
    }
    module
}

/// Returns the text without line comments.
fn without_comments(text: &str) -> String {
    let lines = text
        .lines()
        .map(|line| line.split("//").next().unwrap_or(""));
    lines.collect::<Vec<_>>().join("\n")
}

/// Splits the text into identifiers, `::` and single characters.
fn tokens(text: &str) -> Vec<&str> {
    let is_word = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let mut rest = text.trim_start();
    let mut found = Vec::new();
    while let Some(first) = rest.chars().next() {
        let length = if is_word(first) {
            rest.find(|c| !is_word(c)).unwrap_or(rest.len())
        } else if rest.starts_with("::") {
            2
        } else {
            first.len_utf8()
        };
        let (token, after) = rest.split_at(length);
        found.push(token);
        rest = after.trim_start();
    }
    found
}

/// Returns every path in the tokens of a file. Groups of `use` items are resolved: `a::{b, c::d}` becomes `a::b` and
/// `a::c::d`.
fn paths(tokens: &[&str]) -> Vec<Vec<String>> {
    let mut found = Vec::new();
    let mut prefixes: Vec<Vec<String>> = Vec::new();
    let mut path: Vec<String> = Vec::new();
    let mut after_separator = false;
    for token in tokens {
        match *token {
            "::" => after_separator = true,
            // The group of a `use` item follows `::`. Any other brace opens a block, in which no prefix applies.
            "{" => {
                let prefix = if after_separator {
                    std::mem::take(&mut path)
                } else {
                    Vec::new()
                };
                found.push(std::mem::take(&mut path));
                prefixes.push(prefix);
                after_separator = false;
            }
            _ => {
                let is_word = token.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_');
                if !(is_word && after_separator) {
                    found.push(std::mem::take(&mut path));
                }
                if is_word {
                    if path.is_empty() {
                        path = prefixes.last().cloned().unwrap_or_default();
                    }
                    path.push(token.to_string());
                } else if *token == "}" {
                    prefixes.pop();
                }
                after_separator = false;
            }
        }
    }
    found.push(path);
    found.retain(|path| path.len() > 1);
    found
}

/// Converts a path in a module to a path from the root of the crate, or returns `None` if it leads to another crate.
fn absolute(
    path: &[String],
    module: &ModulePath,
    files: &BTreeSet<ModulePath>,
) -> Option<Vec<String>> {
    let (first, rest) = path.split_first()?;
    match first.as_str() {
        "crate" => Some(rest.to_vec()),
        "self" => Some([module, rest].concat()),
        "super" => {
            let levels = path.iter().take_while(|part| *part == "super").count();
            let base = &module[..module.len().checked_sub(levels)?];
            Some([base, &path[levels..]].concat())
        }
        _ => {
            let child = [module.as_slice(), std::slice::from_ref(first)].concat();
            let is_child = files.contains(&child);
            is_child.then(|| [module, path].concat())
        }
    }
}

/// Returns the imports of each file of the core, without the files of unit tests.
fn imports() -> Imports {
    let src = source_folder();
    let files = source_files(&src);
    let files = files.iter().filter(|file| !file.ends_with("tests.rs"));
    let texts: BTreeMap<ModulePath, String> = files
        .map(|file| {
            let text = std::fs::read_to_string(file).expect("cannot read a source file");
            (module_of(file, &src), without_comments(&text))
        })
        .collect();
    let modules: BTreeSet<ModulePath> = texts.keys().cloned().collect();
    let imported_by = |module: &ModulePath, text: &str| {
        let paths = paths(&tokens(text));
        let absolute = paths
            .iter()
            .filter_map(|path| absolute(path, module, &modules));
        let files = absolute.map(|mut path| {
            while !modules.contains(&path) {
                path.pop();
            }
            path
        });
        files.filter(|file| file != module).collect()
    };
    texts
        .iter()
        .map(|(module, text)| (module.clone(), imported_by(module, text)))
        .collect()
}

/// Returns the imports that are part of a cycle or lie on a path between cycles. Files that import none of the
/// remaining files, or that none of the remaining files imports, are removed until nothing changes.
fn cyclic_imports(mut imports: Imports) -> Imports {
    loop {
        let before = imports.len();
        let importing: BTreeSet<ModulePath> = imports.keys().cloned().collect();
        let imported: BTreeSet<ModulePath> = imports.values().flatten().cloned().collect();
        for files in imports.values_mut() {
            files.retain(|file| importing.contains(file));
        }
        imports.retain(|file, files| !files.is_empty() && imported.contains(file));
        if imports.len() == before {
            return imports;
        }
    }
}

#[test]
fn modules_import_only_lower_layers() {
    let src = source_folder();
    let rank = |layer: &str| LAYERS.iter().position(|l| *l == layer).expect("a layer");
    let (mut read, mut upward) = (0, Vec::new());
    for layer in LAYERS {
        for path in source_files(&src.join(layer)) {
            let text = std::fs::read_to_string(&path).expect("cannot read a source file");
            read += 1;
            let above = named_layers(&text).filter(|other| rank(other) > rank(layer));
            upward.extend(above.map(|other| format!("{} imports {other}", path.display())));
        }
    }
    // Modules outside the folders of the layers may import no layer.
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
            let text = std::fs::read_to_string(&path).expect("cannot read a module");
            read += 1;
            upward.extend(
                named_layers(&text).map(|other| format!("{} imports {other}", path.display())),
            );
        }
    }
    assert!(read > 25, "{read} files");
    assert_eq!(upward, Vec::<String>::new());
}

#[test]
fn imports_between_files_have_no_cycle() {
    let imports = imports();
    let edges: usize = imports.values().map(BTreeSet::len).sum();
    assert!(imports.len() > 100, "{} files", imports.len());
    assert!(edges > 300, "{edges} imports");
    assert_eq!(cyclic_imports(imports), Imports::new());
}

#[test]
fn import_cycle_is_found() {
    let module = |name: &str| vec![name.to_string()];
    let edge = |from: &str, to: &str| (module(from), BTreeSet::from([module(to)]));
    let chain = Imports::from([
        edge("a", "b"),
        edge("b", "c"),
        (module("c"), BTreeSet::new()),
    ]);
    assert_eq!(cyclic_imports(chain), Imports::new());
    let cycle = Imports::from([edge("a", "b"), edge("b", "c"), edge("c", "a")]);
    assert_eq!(cyclic_imports(cycle.clone()), cycle);
    let mut with_others = cycle.clone();
    with_others.extend([edge("above", "a"), edge("below", "none")]);
    assert_eq!(cyclic_imports(with_others), cycle);
}

#[test]
fn grouped_import_paths_are_resolved() {
    let text = "use super::{first::{One, Two}, second::Three}; fn f() { third::run(super::Four) }";
    let found = paths(&tokens(text));
    let joined: Vec<String> = found.iter().map(|path| path.join("::")).collect();
    let expected = [
        "super::first::One",
        "super::first::Two",
        "super::second::Three",
        "third::run",
        "super::Four",
    ];
    assert_eq!(joined, expected);
}
