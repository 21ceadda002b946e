//! Saved measurements of a run, for later comparison with other runs.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use serde_json::{Value, json};

use crate::engine::Micros;
use crate::request::RequestRecord;

/// Why a run file can't be read or written.
#[derive(Debug, Display, Error)]
pub enum RunFileError {
    /// Reading or writing failed.
    #[display("{}: {source}", path.display())]
    Io {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The content is invalid.
    #[display("{}: {reason}", path.display())]
    Content { path: PathBuf, reason: String },
}

/// One request of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Kind of request.
    pub kind: String,
    /// Due time, since the start of the run.
    pub due: Micros,
    /// Latency from the due time; `None` if the request was not served.
    pub latency: Option<Micros>,
}

/// A measured run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Title in the report.
    pub title: String,
    /// One sample per request.
    pub samples: Vec<Sample>,
}

impl Run {
    /// The run of these requests, starting at the earliest due time.
    pub fn from_records(title: &str, records: &[RequestRecord]) -> Run {
        let start = records.iter().map(|record| record.due).min().unwrap_or(0);
        let sample = |record: &RequestRecord| Sample {
            kind: record.spec.kind.clone(),
            due: record.due - start,
            latency: record.latency(),
        };
        Run {
            title: title.to_owned(),
            samples: records.iter().map(sample).collect(),
        }
    }

    /// Writes the run as JSON.
    pub fn write(&self, path: &Path) -> Result<(), RunFileError> {
        let sample = |sample: &Sample| json!([sample.kind, sample.due, sample.latency]);
        let samples: Vec<Value> = self.samples.iter().map(sample).collect();
        let text = json!({"title": self.title, "samples": samples}).to_string();
        std::fs::write(path, text).map_err(|source| RunFileError::Io {
            path: path.to_owned(),
            source,
        })
    }

    /// Reads a file written by [`Run::write`].
    pub fn read(path: &Path) -> Result<Run, RunFileError> {
        let text = std::fs::read(path).map_err(|source| RunFileError::Io {
            path: path.to_owned(),
            source,
        })?;
        let invalid = |reason: String| RunFileError::Content {
            path: path.to_owned(),
            reason,
        };
        let json: Value =
            serde_json::from_slice(&text).map_err(|error| invalid(error.to_string()))?;
        let title = json["title"]
            .as_str()
            .ok_or_else(|| invalid("title: expected a string".to_owned()))?;
        let entries = json["samples"]
            .as_array()
            .ok_or_else(|| invalid("samples: expected an array".to_owned()))?;
        let samples = entries.iter().enumerate().map(|(number, value)| {
            parse_sample(value)
                .ok_or_else(|| invalid(format!("samples[{number}]: expected [kind, due, latency]")))
        });
        Ok(Run {
            title: title.to_owned(),
            samples: samples.collect::<Result<Vec<Sample>, RunFileError>>()?,
        })
    }
}

fn parse_sample(value: &Value) -> Option<Sample> {
    let [kind, due, latency] = value.as_array()?.as_slice() else {
        return None;
    };
    let latency = if latency.is_null() {
        None
    } else {
        Some(latency.as_u64()?)
    };
    Some(Sample {
        kind: kind.as_str()?.to_owned(),
        due: due.as_u64()?,
        latency,
    })
}
