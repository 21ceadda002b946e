//! Saved runs and the page that compares them.

use lockusher_router_testbed::report::page;
use lockusher_router_testbed::run_file::{Run, RunFileError, Sample};

fn run(title: &str) -> Run {
    let sample = |number: u64| Sample {
        kind: if number.is_multiple_of(3) {
            "a <kind>".to_owned()
        } else {
            "other".to_owned()
        },
        due: number * 10_000,
        latency: (!number.is_multiple_of(10)).then_some(1_000 + number * 100),
    };
    Run {
        title: title.to_owned(),
        samples: (0..500).map(sample).collect(),
    }
}

fn file(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!(
        "lockusher-router-testbed-{}-{name}",
        std::process::id()
    ))
}

#[test]
fn a_written_run_is_read_back_unchanged() {
    let path = file("run.json");
    run("one").write(&path).expect("written");
    assert_eq!(Run::read(&path).expect("read"), run("one"));
    std::fs::remove_file(path).expect("removed");
}

#[test]
fn an_invalid_sample_is_reported_by_its_index() {
    let path = file("damaged.json");
    std::fs::write(
        &path,
        r#"{"title": "one", "samples": [["a", 1, 2], ["a", "b", 2]]}"#,
    )
    .expect("written");
    let error = Run::read(&path).expect_err("damaged");
    assert!(matches!(error, RunFileError::Content { .. }));
    assert!(
        error
            .to_string()
            .ends_with("samples[1]: expected [kind, due, latency]"),
        "{error}"
    );
    std::fs::remove_file(path).expect("removed");
}

#[test]
fn the_page_has_a_column_and_two_plots_for_each_run() {
    let page = page(&[run("one"), run("other")]).expect("drawn");
    assert_eq!(page.matches("<section>").count(), 2);
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(page.contains("a &lt;kind&gt;"));
}

#[test]
fn a_run_without_samples_has_a_page() {
    let empty = Run {
        title: "nothing".to_owned(),
        samples: Vec::new(),
    };
    assert!(page(&[empty]).is_ok());
}
