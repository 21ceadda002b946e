//! Makes the other sides of the registry's proto and of the HTTP/2 mapping: stand-ins serve what the mixer asks.

fn main() {
    let proto = "../lockusher-registry-client/proto";
    println!("cargo:rerun-if-changed={proto}");
    let set =
        protox::compile([format!("{proto}/etcd.proto")], [proto]).expect("etcd.proto compiles");
    let parts = "../lockusher-http2/proto";
    println!("cargo:rerun-if-changed={parts}");
    let mapping =
        protox::compile([format!("{parts}/parts.proto")], [parts]).expect("parts.proto compiles");
    prost_build::Config::new()
        .compile_fds(mapping)
        .expect("code is made of it");
    tonic_prost_build::configure()
        .build_client(false)
        .compile_fds(set)
        .expect("code is made of it");
}
