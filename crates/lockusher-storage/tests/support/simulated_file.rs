//! One file of the simulated disk.

use super::simulated_disk::Choices;

/// Number of possible outcomes of a power loss for an unsynced write.
const WRITE_OUTCOMES: usize = 5;

/// A file with its current content, its durable content and the unsynced changes between them.
#[derive(Clone, Debug, Default)]
pub struct SimulatedFile {
    durable: Vec<u8>,
    current: Vec<u8>,
    pending: Vec<Change>,
}

/// A change of a file's content.
#[derive(Clone, Debug)]
pub enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Truncate { length: usize },
}

impl SimulatedFile {
    /// A file whose content is durable.
    pub fn with_content(content: Vec<u8>) -> SimulatedFile {
        SimulatedFile {
            durable: content.clone(),
            current: content,
            pending: Vec::new(),
        }
    }

    /// The current content.
    pub fn content(&self) -> &[u8] {
        &self.current
    }

    pub fn change(&mut self, change: Change) {
        change.apply(&mut self.current);
        self.pending.push(change);
    }

    pub fn sync(&mut self) {
        for change in self.pending.drain(..) {
            change.apply(&mut self.durable);
        }
    }

    pub fn lose_power(&mut self, choices: &mut dyn Choices) {
        for change in self.pending.drain(..) {
            change.apply_partially(&mut self.durable, choices);
        }
        self.current.clone_from(&self.durable);
    }
}

impl Change {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Change::Write { offset, bytes } => write_at(content, *offset, bytes),
            Change::Truncate { length } => content.truncate(*length),
        }
    }

    fn apply_partially(self, content: &mut Vec<u8>, choices: &mut dyn Choices) {
        match self {
            Change::Truncate { length } => {
                if choices.choose(2) == 1 {
                    content.truncate(length);
                }
            }
            Change::Write { offset, bytes } => {
                let half = bytes.len() / 2;
                match choices.choose(WRITE_OUTCOMES) {
                    0 => {}
                    1 => write_at(content, offset, &bytes),
                    2 => write_at(content, offset, &bytes[..half]),
                    3 => write_at(content, offset + half, &bytes[half..]),
                    _ => write_at(content, offset, &vec![0; bytes.len()]),
                }
            }
        }
    }
}

fn write_at(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[offset..end].copy_from_slice(bytes);
}
