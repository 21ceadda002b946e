//! Reads a body that holds one JSON object.

use crate::fault::Faults;
use crate::json::fault_collector::FaultCollector;
use crate::json::field_path::FieldPath;
use crate::json::object_reader::ObjectReader;
use crate::json::unique_keys::parse_unique;

/// Parses the body as one JSON object and converts it with `read`. Returns the faults, if any were found.
pub fn read_document<T>(
    body: &[u8],
    read: impl FnOnce(&ObjectReader<'_>) -> Option<T>,
) -> Result<T, Faults> {
    let value = parse_unique(body).map_err(Faults::unreadable)?;
    let faults = FaultCollector::default();
    let result =
        ObjectReader::new(&value, FieldPath::Root, &faults).and_then(|reader| read(&reader));
    let faults = faults.into_faults();
    match result {
        Some(result) if faults.is_empty() => Ok(result),
        _ => Err(faults),
    }
}
