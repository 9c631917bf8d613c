use std::os::unix::fs::symlink;

use super::*;

#[test]
fn every_symlink_and_the_last_entry_of_a_path_are_found() {
    let base = std::env::temp_dir().join(format!("sableloom-watch-{}", std::process::id()));
    let base = {
        std::fs::create_dir_all(base.join("real/v1")).expect("folders");
        base.canonicalize().expect("a path")
    };
    std::fs::create_dir_all(base.join("map")).expect("a folder");
    // As a config map is laid out: the file over a link to a link to a folder.
    symlink("../real/v1", base.join("map/..data")).expect("a link");
    symlink("..data/servers.toml", base.join("map/servers.toml")).expect("a link");
    std::fs::write(base.join("real/v1/servers.toml"), "").expect("a file");
    let entry =
        |folder: &str, name: &str| FolderEntry { folder: base.join(folder), name: name.into() };
    let found = entries_on_path(&base.join("map/servers.toml"));
    let expected = [
        entry("map", "servers.toml"),
        entry("map", "..data"),
        entry("map/../real/v1", "servers.toml"),
    ];
    assert_eq!(found, expected.into_iter().collect());
    // A file that is not there yet, and one whose links go in a circle.
    let none = entries_on_path(&base.join("map/none.toml"));
    assert_eq!(none, [entry("map", "none.toml")].into_iter().collect());
    symlink("b", base.join("a")).expect("a link");
    symlink("a", base.join("b")).expect("a link");
    let circle = [entry("", "a"), entry("", "b")];
    assert_eq!(entries_on_path(&base.join("a")), circle.into_iter().collect());
    std::fs::remove_dir_all(&base).expect("removed");
}
