//! Makes the other side of the registry's proto: the stand-in serves what the mixer's client asks.

fn main() {
    let proto = "../lockusher-registry/proto";
    println!("cargo:rerun-if-changed={proto}");
    let set = protox::compile([format!("{proto}/etcd.proto")], [proto]).expect("etcd.proto compiles");
    tonic_prost_build::configure().build_client(false).compile_fds(set).expect("code is made of it");
}
