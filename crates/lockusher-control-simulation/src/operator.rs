//! A simulated operator: sends configurations, whole ones and patches, reads them, and retries what wasn't answered.

use std::sync::Arc;

use lockusher_control::document::patch_identity;
use lockusher_control::{ConfigurationDocument, Digest, Millis, Request, RequestTicket};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// One change in so many is a patch.
const PATCH_ONE_CHANGE_IN: u32 = 3;

/// The configuration that a patch makes of another one: it depends on both.
pub fn patched(version: u64, patch: Digest, base: Digest) -> ConfigurationDocument {
    let body = format!("{{\"version\":{version},\"patch\":\"{patch}\",\"base\":\"{base}\"}}");
    ConfigurationDocument::patched(version, patch, Arc::from(body.into_bytes()))
}

/// An operator with one call at a time.
#[derive(Debug)]
pub struct Operator {
    pub number: usize,
    /// The newest version that it knows.
    pub known_version: u64,
    /// The change that it wants committed, until that is decided.
    pub change: Option<Change>,
    pub call: Option<Call>,
    /// Nothing is sent before then.
    pub idle_until: Millis,
    changes_created: u64,
    /// The machine called last; another one is called next, if there is one.
    pub last_node: Option<usize>,
    /// Changes acknowledged to it, some of which it resends.
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
    /// It was acknowledged before, and is resent.
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

/// A call in flight.
#[derive(Clone, Debug)]
pub struct Call {
    pub ticket: RequestTicket,
    pub deadline: Millis,
    /// Highest version acknowledged or read when the call started: a later read must not be below.
    pub floor: u64,
    pub is_read: bool,
}

/// A duplicated call that is delayed on its way; nobody waits for its reply.
#[derive(Clone, Debug)]
pub struct DelayedCall {
    pub due: Millis,
    pub node: usize,
    pub request: Request,
}

impl Operator {
    /// An operator that knows of no configuration.
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

    /// The next change to be sent: the present one if it isn't decided yet.
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

    /// A change that builds on the newest version it knows.
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

    /// A full configuration that builds on the newest version it knows.
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

    /// The version of the next change, and a body that no other change has.
    fn next_body(&mut self, random: &mut ChaCha8Rng) -> (u64, String) {
        self.changes_created += 1;
        let version = self.known_version + random.random_range(1..=3);
        let body = format!(
            "{{\"version\":{version},\"operator\":{},\"number\":{}}}",
            self.number, self.changes_created
        );
        (version, body)
    }

    /// A patch without a clear reply is retried from its first step, the request for its base.
    pub fn discard_patch_base(&mut self) {
        if let Some(Change {
            content: Content::Patch { base },
            ..
        }) = &mut self.change
        {
            *base = None;
        }
    }

    /// Applies the patch to the configuration that it builds on. Whether there is a patch that waits for one.
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
    /// The request that asks for it.
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

    /// The same change before its base is known.
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
