//! Simulated operator: sends full configurations and patches, reads, and retries unanswered changes.

use std::sync::Arc;

use lockusher_control::document::patch_identity;
use lockusher_control::{ConfigurationDocument, Digest, Millis, Request, RequestTicket};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// One in this many changes is a patch.
const PATCH_ONE_CHANGE_IN: u32 = 3;

/// The configuration that results from a patch. Its body depends on the patch and on the base.
pub fn patched(version: u64, patch: Digest, base: Digest) -> ConfigurationDocument {
    let body = format!("{{\"version\":{version},\"patch\":\"{patch}\",\"base\":\"{base}\"}}");
    ConfigurationDocument::patched(version, patch, Arc::from(body.into_bytes()))
}

/// An operator, which has at most one call in flight.
#[derive(Debug)]
pub struct Operator {
    pub number: usize,
    /// The newest version known to it.
    pub known_version: u64,
    /// The change that it retries until it is accepted or rejected.
    pub change: Option<Change>,
    /// The call in flight.
    pub call: Option<Call>,
    /// No call is made before then.
    pub idle_until: Millis,
    /// Number of changes created, which makes their bodies distinct.
    changes_created: u64,
    /// The machine called last; the next call goes to another one, if one is running.
    pub last_node: Option<usize>,
    /// Changes that were acknowledged; some are resent.
    pub acknowledged: Vec<Change>,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub struct Change {
    /// Identity of the request.
    pub identity: Digest,
    pub version: u64,
    /// The version that it builds on.
    pub if_match: u64,
    pub content: Content,
    /// Whether it was acknowledged before and is resent.
    pub is_resent: bool,
}

/// Content of a change.
#[derive(Clone, Debug)]
pub enum Content {
    FullDocument(ConfigurationDocument),
    /// A patch, with the configuration that it applies to once that is known.
    Patch {
        base: Option<ConfigurationDocument>,
    },
}

/// A call in flight.
#[derive(Clone, Debug)]
pub struct Call {
    pub ticket: RequestTicket,
    pub deadline: Millis,
    /// Highest version acknowledged or read when the call started: the lower bound for a read.
    pub floor: u64,
    pub is_read: bool,
}

/// A delayed duplicate of a call; its reply is ignored.
#[derive(Clone, Debug)]
pub struct DelayedCall {
    pub due: Millis,
    pub node: usize,
    pub request: Request,
}

impl Operator {
    /// Creates an operator that knows no configuration.
    pub fn new(number: usize) -> Self {
        Self {
            number,
            known_version: 0,
            change: None,
            call: None,
            idle_until: 0,
            changes_created: 0,
            last_node: None,
            acknowledged: Vec::new(),
        }
    }

    /// The next change to send: the undecided one if there is one, otherwise a new or an acknowledged one.
    pub fn next_change(&mut self, random: &mut ChaCha8Rng) -> Change {
        if let Some(change) = &self.change {
            return change.clone();
        }
        let change = if !self.acknowledged.is_empty() && random.random_ratio(1, 5) {
            let old = &self.acknowledged[random.random_range(0..self.acknowledged.len())];
            Change {
                is_resent: true,
                ..old.clone()
            }
        } else {
            self.new_change(random)
        };
        self.change = Some(change.clone());
        change
    }

    /// Creates a change that builds on the newest known version.
    fn new_change(&mut self, random: &mut ChaCha8Rng) -> Change {
        if self.known_version == 0 || !random.random_ratio(1, PATCH_ONE_CHANGE_IN) {
            return self.new_full_document(random);
        }
        let (version, body) = self.next_body(random);
        let if_match = self.known_version;
        let identity = patch_identity(if_match, body.as_bytes());
        Change {
            identity,
            version,
            if_match,
            content: Content::Patch { base: None },
            is_resent: false,
        }
    }

    /// Creates a full configuration that builds on the newest known version.
    pub fn new_full_document(&mut self, random: &mut ChaCha8Rng) -> Change {
        let (version, body) = self.next_body(random);
        let document = ConfigurationDocument::new(version, Arc::from(body.into_bytes()));
        let (identity, if_match) = (document.request, self.known_version);
        Change {
            identity,
            version,
            if_match,
            content: Content::FullDocument(document),
            is_resent: false,
        }
    }

    /// Draws the version of the next change and returns it with a unique body.
    fn next_body(&mut self, random: &mut ChaCha8Rng) -> (u64, String) {
        self.changes_created += 1;
        let version = self.known_version + random.random_range(1..=3);
        let body = format!(
            "{{\"version\":{version},\"operator\":{},\"number\":{}}}",
            self.number, self.changes_created
        );
        (version, body)
    }

    /// Discards the base of an undecided patch, so that a retry requests the base again.
    pub fn discard_patch_base(&mut self) {
        if let Some(Change {
            content: Content::Patch { base },
            ..
        }) = &mut self.change
        {
            *base = None;
        }
    }

    /// Stores the base of the undecided patch. Returns whether there is a base and a patch that waits for it.
    pub fn receive_base(&mut self, document: Option<ConfigurationDocument>) -> bool {
        match (&mut self.change, document) {
            (
                Some(Change {
                    content: Content::Patch { base: base @ None },
                    ..
                }),
                Some(document),
            ) => {
                *base = Some(document);
                true
            }
            _ => false,
        }
    }
}

impl Change {
    /// The request to send: for a patch without a base, the request for the base.
    pub fn request(&self) -> Request {
        let (if_match, version, request) = (self.if_match, self.version, self.identity);
        match &self.content {
            Content::FullDocument(document) => Request::Put {
                if_match,
                document: document.clone(),
            },
            Content::Patch { base: None } => Request::PatchBase {
                if_match,
                version,
                request,
            },
            Content::Patch { base: Some(base) } => Request::Put {
                if_match,
                document: patched(version, request, base.digest),
            },
        }
    }

    /// The same change with the base of a patch removed.
    pub fn without_base(mut self) -> Self {
        if let Content::Patch { base } = &mut self.content {
            *base = None;
        }
        self
    }

    /// Whether it is a patch.
    pub fn is_patch(&self) -> bool {
        matches!(self.content, Content::Patch { .. })
    }
}
