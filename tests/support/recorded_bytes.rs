//! Compares today's encodings with recorded bytes: what an earlier release wrote to a disk or to the wire.
//!
//! A fixture is a text file of samples. A sample is a line `name hex`; lines that begin with a space continue it, and
//! lines that begin with `#` are comments. Recorded bytes are never changed: a release that can't read them can't take
//! over a disk, and can't stand beside the earlier release in a rolling replacement. A failed comparison prints the
//! lines of today's encoding, which are to be added to the fixture if the sample is a new one.
//!
//! Included by `#[path]` in the test `recorded_bytes` of each package that encodes something.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::{Debug, Write as _};

/// Bytes of a sample on one line of a fixture.
const BYTES_PER_LINE: usize = 56;

/// Declares `$kinds`, the names of all variants of an enum, and `$kind_of`, the name of a value's variant. A variant
/// that isn't listed is a compile error; one that is listed is asked for by [`assert_every_kind_is_sampled`].
#[allow(unused_macros)]
macro_rules! kinds_of {
    ($enum:ident, $kinds:ident, $kind_of:ident, [$($variant:ident),* $(,)?]) => {
        const $kinds: &[&str] = &[$(stringify!($variant)),*];

        fn $kind_of(value: &$enum) -> &'static str {
            match value {
                $($enum::$variant { .. } => stringify!($variant),)*
            }
        }
    };
}
#[allow(unused_imports)]
pub(crate) use kinds_of;

/// Fails unless each of `kinds` is among those that were sampled.
pub fn assert_every_kind_is_sampled(
    kinds: &[&str],
    sampled: impl IntoIterator<Item = &'static str>,
) {
    let sampled: Vec<&str> = sampled.into_iter().collect();
    let missing: Vec<&&str> = kinds
        .iter()
        .filter(|kind| !sampled.contains(kind))
        .collect();
    assert!(missing.is_empty(), "kinds without a sample: {missing:?}");
}

/// Fails unless the fixture holds exactly the samples, each value is encoded as recorded, the recorded bytes are decoded
/// to the value, and the decoded value is encoded as recorded again.
pub fn assert_encoded_as_recorded<T: Debug + PartialEq>(
    fixture: &str,
    samples: &[(&str, T)],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let encoded: Vec<(&str, Vec<u8>)> = samples
        .iter()
        .map(|(name, value)| (*name, encode(value)))
        .collect();
    assert_bytes_as_recorded(fixture, &encoded);
    let recorded = read_fixture(fixture);
    for (name, value) in samples {
        let decoded = decode(&recorded[*name]);
        assert_eq!(
            &decoded, value,
            "{name}, as decoded from the recorded bytes"
        );
        assert_eq!(encode(&decoded), recorded[*name], "{name}, encoded again");
    }
}

/// Fails unless the fixture holds exactly these names with exactly these bytes.
pub fn assert_bytes_as_recorded(fixture: &str, actual: &[(&str, Vec<u8>)]) {
    let recorded = read_fixture(fixture);
    let unlike: String = actual
        .iter()
        .filter(|(name, bytes)| recorded.get(*name) != Some(bytes))
        .map(|(name, bytes)| fixture_lines(name, bytes))
        .collect();
    assert!(
        unlike.is_empty(),
        "not as recorded, or not recorded; encoded today as:\n{unlike}"
    );
    let actual_names: BTreeMap<&str, &Vec<u8>> =
        actual.iter().map(|(name, bytes)| (*name, bytes)).collect();
    assert_eq!(
        actual_names.len(),
        actual.len(),
        "two samples have the same name"
    );
    let unused: Vec<&String> = recorded
        .keys()
        .filter(|name| !actual_names.contains_key(name.as_str()))
        .collect();
    assert!(
        unused.is_empty(),
        "recorded, but without a sample: {unused:?}"
    );
}

/// The samples of a fixture by name.
pub fn read_fixture(fixture: &str) -> BTreeMap<String, Vec<u8>> {
    let mut samples = BTreeMap::new();
    let mut name = None;
    for line in fixture
        .lines()
        .filter(|line| !line.starts_with('#') && !line.is_empty())
    {
        let hex = match line.strip_prefix(' ') {
            Some(continued) => continued,
            None => {
                let (new_name, hex) = line
                    .split_once(' ')
                    .expect("a name, a space and hexadecimal digits");
                assert!(
                    samples.insert(new_name.to_owned(), Vec::new()).is_none(),
                    "{new_name} twice"
                );
                name = Some(new_name);
                hex
            }
        };
        let name = name.expect("a name before a continued line");
        samples
            .get_mut(name)
            .expect("inserted above")
            .extend(bytes_of_hex(hex));
    }
    samples
}

fn bytes_of_hex(hex: &str) -> Vec<u8> {
    assert!(
        hex.len().is_multiple_of(2),
        "an odd number of digits: {hex}"
    );
    let byte_at =
        |start| u8::from_str_radix(&hex[start..start + 2], 16).expect("hexadecimal digits");
    (0..hex.len()).step_by(2).map(byte_at).collect()
}

fn fixture_lines(name: &str, bytes: &[u8]) -> String {
    let mut lines = name.to_owned();
    for (index, chunk) in bytes.chunks(BYTES_PER_LINE).enumerate() {
        lines.push_str(if index == 0 { " " } else { "\n " });
        for byte in chunk {
            write!(lines, "{byte:02x}").expect("writing to a string can't fail");
        }
    }
    lines.push('\n');
    lines
}
