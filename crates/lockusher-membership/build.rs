//! Compiles the proto in pure Rust: a new machine needs no protoc.

fn main() {
    println!("cargo:rerun-if-changed=proto");
    let set =
        protox::compile(["proto/fleet.proto"], ["proto"]).expect("proto/fleet.proto compiles");
    prost_build::Config::new()
        .compile_fds(set)
        .expect("code is made of it");
}
