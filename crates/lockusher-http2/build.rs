//! Compiles the mapping's proto in pure Rust: a new machine needs no protoc.

fn main() {
    println!("cargo:rerun-if-changed=proto");
    let set =
        protox::compile(["proto/parts.proto"], ["proto"]).expect("proto/parts.proto compiles");
    prost_build::Config::new()
        .compile_fds(set)
        .expect("code is made of it");
}
