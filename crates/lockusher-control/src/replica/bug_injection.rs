//! Points at which tests can inject a bug into a replica, in the manner of a fail-point library.
//!
//! The replica's code marks each guard of the protocol that a test can leave out by [`bug_injected`], and each value that a
//! test can alter by [`altered_by_bug`]. Without the feature `injected-bugs`, as the product is built, the first expands to
//! `false` and the second to the unaltered value: neither the bugs nor their hooks are compiled.

#[cfg(feature = "injected-bugs")]
use super::injected_bug::InjectedBug;

/// The bug that is injected into a replica, if any. Has no size without the feature `injected-bugs`.
#[derive(Clone, Copy, Debug, Default)]
pub struct BugInjection {
    #[cfg(feature = "injected-bugs")]
    bug: Option<InjectedBug>,
}

#[cfg(feature = "injected-bugs")]
impl BugInjection {
    /// Injects this bug.
    pub fn of(bug: InjectedBug) -> Self {
        Self { bug: Some(bug) }
    }

    /// The bug injected.
    pub fn bug(self) -> Option<InjectedBug> {
        self.bug
    }
}

/// Whether the named `InjectedBug` is injected.
#[cfg(feature = "injected-bugs")]
macro_rules! bug_injected {
    ($injection:expr, $bug:ident) => {
        $injection.bug() == Some($crate::replica::injected_bug::InjectedBug::$bug)
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
