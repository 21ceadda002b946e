//! Points at which tests can inject a bug into a replica, in the manner of a fail-point library.
//!
//! The replica's code marks each guard of the protocol that a test can leave out by [`bug_injected`], and each value that a
//! test can alter by [`altered_by_bug`]. Without the feature `injected-bugs`, as the product is built, the first expands to
//! `false` and the second to the unaltered value: neither the bugs nor their hooks are compiled.

#[cfg(feature = "injected-bugs")]
use super::injected_bug::InjectedBug;

/// The bugs that are injected into a replica, if any. Has no size without the feature `injected-bugs`.
#[derive(Clone, Copy, Debug, Default)]
pub struct BugInjection {
    /// Two at most: a guard, and the one that covers it.
    #[cfg(feature = "injected-bugs")]
    bugs: [Option<InjectedBug>; 2],
}

#[cfg(feature = "injected-bugs")]
impl BugInjection {
    /// Injects these bugs.
    pub fn of(bugs: [Option<InjectedBug>; 2]) -> Self {
        Self { bugs }
    }

    /// Whether this bug is injected.
    pub fn injects(self, bug: InjectedBug) -> bool {
        self.bugs.contains(&Some(bug))
    }
}

/// Whether the named `InjectedBug` is injected.
#[cfg(feature = "injected-bugs")]
macro_rules! bug_injected {
    ($injection:expr, $bug:ident) => {
        $injection.injects($crate::replica::injected_bug::InjectedBug::$bug)
    };
}

/// Whether the named bug is injected: never, as the feature `injected-bugs` is off.
#[cfg(not(feature = "injected-bugs"))]
macro_rules! bug_injected {
    ($injection:expr, $bug:ident) => {{
        let _ = $injection;
        false
    }};
}

/// The value as this hook of [`BugInjection`] alters it.
#[cfg(feature = "injected-bugs")]
macro_rules! altered_by_bug {
    ($injection:expr, $hook:ident, $value:expr $(, $context:expr)*) => {
        $injection.$hook($value $(, $context)*)
    };
}

/// The value as it is, as the feature `injected-bugs` is off.
#[cfg(not(feature = "injected-bugs"))]
macro_rules! altered_by_bug {
    ($injection:expr, $hook:ident, $value:expr $(, $context:expr)*) => {
        $value
    };
}

pub(super) use {altered_by_bug, bug_injected};
