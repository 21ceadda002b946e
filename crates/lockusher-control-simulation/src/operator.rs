//! A simulated operator: sends configurations and reads them, and repeats what wasn't answered.

use std::sync::Arc;

use lockusher_control::document::patch_identity;
use lockusher_control::{ConfigurationDocument, Digest, Millis, Request, RequestTicket};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// One change in so many is a patch.
const PATCH_ONE_CHANGE_IN: u32 = 3;

/// What a patch makes of a configuration: it depends on both.
pub fn patched(version: u64, patch: Digest, base: Digest) -> ConfigurationDocument {
    let body = format!("{{\"version\":{version},\"patch\":\"{patch}\",\"base\":\"{base}\"}}");
    ConfigurationDocument::patched(version, patch, Arc::from(body.into_bytes()))
}

/// An operator with one call at a time.
#[derive(Debug)]
pub struct Operator {
    pub number: usize,
    /// Version that it believes current.
    pub known_version: u64,
    /// The change that it wants taken, with the version it builds on.
    pub change: Option<Change>,
    pub call: Option<Call>,
    /// Nothing is sent before then.
    pub idle_until: Millis,
    written: u64,
    /// Machine asked last; another one is asked next, if there is one.
    pub last_node: Option<usize>,
    /// Changes acknowledged to it, some of which it sends again.
    pub acknowledged: Vec<Change>,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub struct Change {
    /// Identifies the call.
    pub identity: Digest,
    pub version: u64,
    pub if_match: u64,
    pub content: Content,
    /// It was acknowledged before, and is sent again.
    pub is_resent: bool,
}

/// What a change consists of.
#[derive(Clone, Debug)]
pub enum Content {
    FullDocument(ConfigurationDocument),
    /// A patch, with the configuration to apply it to once that is known.
    Patch {
        base: Option<ConfigurationDocument>,
    },
}

/// A call under way.
#[derive(Clone, Debug)]
pub struct Call {
    pub ticket: RequestTicket,
    pub deadline: Millis,
    /// Highest version told when it began.
    pub floor: u64,
    pub is_read: bool,
}

/// A call that is held on its way; nobody waits for its answer.
#[derive(Clone, Debug)]
pub struct DelayedCall {
    pub due: Millis,
    pub node: usize,
    pub request: Request,
}

impl Operator {
    /// An operator that believes nothing is there.
    pub fn new(number: usize) -> Self {
        Self {
            number,
            known_version: 0,
            change: None,
            call: None,
            idle_until: 0,
            written: 0,
            last_node: None,
            acknowledged: Vec::new(),
        }
    }

    /// The next change to be sent; the present one if it isn't decided.
    pub fn next_change(&mut self, random: &mut ChaCha8Rng) -> Change {
        if let Some(change) = &self.change {
            return change.clone();
        }
        let change = if !self.acknowledged.is_empty() && random.random_ratio(1, 5) {
            let old = &self.acknowledged[random.random_range(0..self.acknowledged.len())];
            Change { is_resent: true, ..old.clone() }
        } else {
            self.new_change(random)
        };
        self.change = Some(change.clone());
        change
    }

    /// A change on top of what it believes current.
    fn new_change(&mut self, random: &mut ChaCha8Rng) -> Change {
        if self.known_version == 0 || !random.random_ratio(1, PATCH_ONE_CHANGE_IN) {
            return self.new_full_document(random);
        }
        let (version, body) = self.next_body(random);
        let if_match = self.known_version;
        let identity = patch_identity(if_match, body.as_bytes());
        Change { identity, version, if_match, content: Content::Patch { base: None }, is_resent: false }
    }

    /// A whole configuration on top of what it believes current.
    pub fn new_full_document(&mut self, random: &mut ChaCha8Rng) -> Change {
        let (version, body) = self.next_body(random);
        let document = ConfigurationDocument::new(version, Arc::from(body.into_bytes()));
        let (identity, if_match) = (document.request, self.known_version);
        Change { identity, version, if_match, content: Content::FullDocument(document), is_resent: false }
    }

    /// The version of the next change, and a body that no other change has.
    fn next_body(&mut self, random: &mut ChaCha8Rng) -> (u64, String) {
        self.written += 1;
        let version = self.known_version + random.random_range(1..=3);
        let body =
            format!("{{\"version\":{version},\"operator\":{},\"number\":{}}}", self.number, self.written);
        (version, body)
    }

    /// A patch without a clear answer is sent again from its beginning.
    pub fn restart_patch(&mut self) {
        if let Some(Change { content: Content::Patch { base }, .. }) = &mut self.change {
            *base = None;
        }
    }

    /// A patch that is asked for was told what it builds on: it goes on, true, or can't be applied to nothing.
    pub fn receive_base(&mut self, document: Option<ConfigurationDocument>) -> bool {
        match (&mut self.change, document) {
            (Some(Change { content: Content::Patch { base: base @ None }, .. }), Some(document)) => {
                *base = Some(document);
                true
            }
            _ => false,
        }
    }
}

impl Change {
    /// The request that asks for it.
    pub fn request(&self) -> Request {
        let (if_match, version, request) = (self.if_match, self.version, self.identity);
        match &self.content {
            Content::FullDocument(document) => Request::Put { if_match, document: document.clone() },
            Content::Patch { base: None } => Request::Base { if_match, version, request },
            Content::Patch { base: Some(base) } => {
                Request::Put { if_match, document: patched(version, request, base.digest) }
            }
        }
    }

    /// The same as it is to be sent first.
    pub fn without_base(mut self) -> Self {
        if let Content::Patch { base } = &mut self.content {
            *base = None;
        }
        self
    }

    pub fn is_patch(&self) -> bool {
        matches!(self.content, Content::Patch { .. })
    }
}
