//! Compiles the proto of the operator's settings in pure Rust: a new machine needs no protoc.

use std::path::PathBuf;

use prost::Message;

fn main() {
    println!("cargo:rerun-if-changed=proto");
    let set = protox::compile(["proto/settings.proto"], ["proto"])
        .expect("proto/settings.proto compiles");
    let out = PathBuf::from(std::env::var_os("OUT_DIR").expect("cargo names it"));
    std::fs::write(out.join("settings.bin"), set.encode_to_vec())
        .expect("the descriptors are written");
    prost_build::Config::new()
        .compile_fds(set)
        .expect("code is made of it");
}
