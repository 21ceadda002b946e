//! Compiles the proto in pure Rust: a new machine needs no protoc.

fn main() {
    println!("cargo:rerun-if-changed=proto");
    let set = protox::compile(["proto/etcd.proto"], ["proto"]).expect("proto/etcd.proto compiles");
    tonic_prost_build::configure()
        .build_server(false)
        .compile_fds(set)
        .expect("code is made of it");
}
