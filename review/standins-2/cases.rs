//! The cases.

mod kept_connection;

/// Runs a case; the number of times that its rule was broken.
pub fn run(case: &str, trouble: bool) -> Result<usize, String> {
    match case {
        "kept-connection" => kept_connection::run(trouble),
        _ => Err(format!("no case {case}")),
    }
}
