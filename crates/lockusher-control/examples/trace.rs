use lockusher_control::simulation::*;
use std::collections::BTreeSet;
struct L;
impl log::Log for L {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }
    fn log(&self, r: &log::Record) {
        if r.level() <= log::Level::Debug {
            println!("{}", r.args())
        }
    }
    fn flush(&self) {}
}
static LOG: L = L;
fn main() {
    let a: Vec<String> = std::env::args().collect();
    let n = a[1].parse().unwrap();
    let seed = a[2].parse().unwrap();
    let steps: usize = a[3].parse().unwrap();
    let keep: BTreeSet<usize> = a[4..].iter().map(|x| x.parse().unwrap()).collect();
    log::set_logger(&LOG).unwrap();
    log::set_max_level(log::LevelFilter::Debug);
    let o = SimulationOptions { replicas: n, seed, steps, ..Default::default() };
    let left: BTreeSet<usize> =
        if keep.is_empty() { BTreeSet::new() } else { (0..steps).filter(|s| !keep.contains(s)).collect() };
    let mut w = World::new(o);
    w.run_faulty(steps, &left);
    println!("CALM");
    w.run_calm();
    println!("{}", w.describe());
    println!("{:?}", w.into_outcome());
}
