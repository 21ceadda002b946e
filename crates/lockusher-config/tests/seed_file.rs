//! The seeds are reloaded from the settings file, which may change without a signal.

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use lockusher_config::settings_file::SeedFile;

fn seeds(hosts: &[u8]) -> Vec<SocketAddrV4> {
    let seed = |host: &u8| format!("10.0.0.{host}:8146").parse().expect("an address");
    hosts.iter().map(seed).collect()
}

fn write(file: &Path, seeds: &[SocketAddrV4]) {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let text = format!(
        "node=edge-1\nzone=north\nipAddress=10.0.0.9\ninternalPorts=7660,7675\nseeds={}\ncloud.address=10.0.0.4:8142\n",
        seeds.join(",")
    );
    std::fs::write(file, text).expect("the file is written");
}

fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("lockusher-seed-file-{}-{name}", std::process::id()))
}

#[test]
fn seeds_follow_the_file_when_it_changes() {
    let path = file("changes");
    write(&path, &seeds(&[1, 2]));
    let mut seed_file = SeedFile::of(Some(path.clone()), seeds(&[1, 2]));

    assert!(!seed_file.refresh().expect("a valid file"));
    write(&path, &seeds(&[7, 8, 9]));
    assert!(seed_file.refresh().expect("a valid file"));
    assert!(!seed_file.refresh().expect("a valid file"));

    assert_eq!(seed_file.seeds(), seeds(&[7, 8, 9]));
    std::fs::remove_file(path).expect("the file is removed");
}

#[test]
fn a_faulty_or_missing_file_leaves_the_seeds_unchanged() {
    let path = file("faulty");
    std::fs::write(&path, "node=\n").expect("the file is written");
    let mut seed_file = SeedFile::of(Some(path.clone()), seeds(&[1]));

    let error = seed_file.refresh().expect_err("a faulty file");
    assert!(error.to_string().contains("faulty settings"), "{error}");
    std::fs::remove_file(&path).expect("the file is removed");
    let error = seed_file.refresh().expect_err("no file");
    assert!(error.to_string().contains("cannot be read"), "{error}");

    assert_eq!(seed_file.seeds(), seeds(&[1]));
}

#[test]
fn without_a_file_the_initial_seeds_are_kept() {
    let mut seed_file = SeedFile::of(None, seeds(&[1, 2]));

    assert!(!seed_file.refresh().expect("nothing to read"));
    assert_eq!(seed_file.seeds(), seeds(&[1, 2]));
}
