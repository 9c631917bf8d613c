//! No module of a crate imports another in a circle. A module and the modules below it count as one subject: an import
//! from a module's parent, or of its own children, is no edge.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// A module's path within its crate; empty for the root.
type Module = Vec<String>;

/// The modules below a source folder with their texts; test modules are left out.
fn modules(source: &Path, folder: &Path, found: &mut BTreeMap<Module, String>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            modules(source, &path, found);
            continue;
        }
        let below = path.strip_prefix(source).expect("below the source").with_extension("");
        let mut module: Module =
            below.iter().map(|part| part.to_str().expect("UTF-8").to_string()).collect();
        let last = module.last().map_or("", String::as_str);
        if last == "tests" || path.extension().is_none_or(|end| end != "rs") {
            continue;
        }
        if ["mod", "lib", "main"].contains(&last) {
            module.pop();
        }
        found.insert(module, fs::read_to_string(&path).expect("a source file"));
    }
}

/// A source text without comments, in one line.
fn without_comments(text: &str) -> String {
    let code = text.lines().map(|line| line.split("//").next().unwrap_or_default());
    code.collect::<Vec<_>>().join(" ")
}

/// The paths that a tree of a `use` names: `a::{b, c::d}` is `a::b` and `a::c::d`.
fn paths_of_tree(prefix: &str, tree: &str) -> Vec<String> {
    let Some(open) = tree.find('{') else { return vec![format!("{prefix}{}", tree.trim())] };
    let (head, inside) = (&tree[..open], &tree[open + 1..tree.rfind('}').unwrap_or(tree.len())]);
    let prefix = format!("{prefix}{}", head.trim());
    let (mut depth, mut start, mut paths) = (0, 0, Vec::new());
    for (at, letter) in inside.char_indices().chain([(inside.len(), ',')]) {
        match letter {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                if !inside[start..at].trim().is_empty() {
                    paths.extend(paths_of_tree(&prefix, &inside[start..at]));
                }
                start = at + 1;
            }
            _ => {}
        }
    }
    paths
}

/// The paths that begin with `crate` or `super` in a text, in a `use` or elsewhere.
fn references(text: &str) -> Vec<String> {
    let code = without_comments(text);
    let mut paths = Vec::new();
    for statement in code.split(';') {
        let tree = statement.rsplit("use ").next().unwrap_or_default().trim();
        if statement.contains("use ")
            && (tree.starts_with("crate::") || tree.starts_with("super::"))
        {
            paths.extend(paths_of_tree("", tree));
            continue;
        }
        for start in ["crate::", "super::"] {
            for (at, _) in statement.match_indices(start) {
                let is_part =
                    |letter: char| letter.is_alphanumeric() || letter == '_' || letter == ':';
                let end = statement[at..].find(|letter| !is_part(letter));
                paths.push(statement[at..at + end.unwrap_or(statement.len() - at)].to_string());
            }
        }
    }
    paths
}

/// The module that a path leads to, seen from another: the longest part of it that is a module.
fn target(path: &str, from: &Module, modules: &BTreeMap<Module, String>) -> Module {
    let mut parts = path.split("::").map(|part| part.trim().to_string()).peekable();
    let mut full = from.clone();
    if parts.peek().is_some_and(|part| part == "crate") {
        parts.next();
        full.clear();
    }
    while parts.peek().is_some_and(|part| part == "super") {
        parts.next();
        full.pop();
    }
    full.extend(parts);
    while !modules.contains_key(&full) {
        full.pop();
    }
    full
}

/// Which modules each module imports, without its parents and children.
fn imports(modules: &BTreeMap<Module, String>) -> BTreeMap<&Module, BTreeSet<Module>> {
    let related = |one: &Module, other: &Module| one.starts_with(other) || other.starts_with(one);
    let of = |module: &Module, text: &str| {
        let targets = references(text).into_iter().map(|path| target(&path, module, modules));
        targets.filter(|target| !related(target, module)).collect()
    };
    modules.iter().map(|(module, text)| (module, of(module, text))).collect()
}

/// Modules that can't be put into an order in which each comes after all that it imports.
fn in_circles(modules: &BTreeMap<Module, String>) -> Vec<String> {
    let mut left = imports(modules);
    loop {
        let free: Vec<Module> = left
            .iter()
            .filter(|(_, imported)| imported.iter().all(|module| !left.contains_key(module)))
            .map(|(module, _)| (*module).clone())
            .collect();
        if free.is_empty() {
            return left.keys().map(|module| module.join("::")).collect();
        }
        left.retain(|module, _| !free.contains(module));
    }
}

#[test]
fn no_modules_of_a_crate_import_each_other_in_a_circle() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut counted = 0;
    for entry in fs::read_dir(crates).expect("crates") {
        let folder = entry.expect("a crate").path();
        let mut found = BTreeMap::new();
        let source = folder.join("src");
        modules(&source, &source, &mut found);
        found.entry(Module::new()).or_default();
        counted += found.len();
        let circle = in_circles(&found);
        assert!(circle.is_empty(), "{}: in a circle or after one: {circle:?}", folder.display());
    }
    assert!(counted > 200, "{counted} modules");
}

#[test]
fn a_circle_of_two_modules_is_found_and_a_child_is_none() {
    let module = |path: &str| path.split("::").map(str::to_string).collect::<Module>();
    let with = |texts: &[(&str, &str)]| {
        let mut modules: BTreeMap<Module, String> =
            texts.iter().map(|(path, text)| (module(path), (*text).to_string())).collect();
        modules.insert(Module::new(), String::new());
        in_circles(&modules)
    };
    let circle = with(&[("a", "use crate::b::{One, Two};"), ("b", "fn f() { super::a::g(); }")]);
    assert_eq!(circle, ["a", "b"]);
    let nested = with(&[("a", "use crate::{b::c::{D}, e};"), ("b::c", "use crate::a;"), ("b", "")]);
    assert_eq!(nested, ["a", "b::c"]);
    assert_eq!(
        with(&[("a", "use self::b::One; use crate::a::b;"), ("a::b", "use super::Two;")]),
        [""; 0]
    );
    assert_eq!(with(&[("a", "// use crate::b;"), ("b", "use crate::a::One;")]), [""; 0]);
}
