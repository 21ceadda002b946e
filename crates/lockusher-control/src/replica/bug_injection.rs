//! Injection points at which tests can introduce a bug into a replica, similar to a failpoint library.
//!
//! [`bug_injected`] marks each guard of the protocol that a test can disable, and [`altered_by_bug`] each value that a
//! test can alter. Without the feature `injected-bugs`, as in production builds, the first expands to `false` and the
//! second to the unaltered value: neither the bugs nor their hooks are compiled.

#[cfg(feature = "injected-bugs")]
use super::injected_bug::InjectedBug;

/// The bugs injected into a replica, if any. Zero-sized without the feature `injected-bugs`.
#[derive(Clone, Copy, Debug, Default)]
pub struct BugInjection {
    /// At most two: a disabled guard, and the guard that covers for it.
    #[cfg(feature = "injected-bugs")]
    bugs: [Option<InjectedBug>; 2],
}

#[cfg(feature = "injected-bugs")]
impl BugInjection {
    /// An injection of these bugs.
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

/// The value as altered by this hook of [`BugInjection`].
#[cfg(feature = "injected-bugs")]
macro_rules! altered_by_bug {
    ($injection:expr, $hook:ident, $value:expr $(, $context:expr)*) => {
        $injection.$hook($value $(, $context)*)
    };
}

/// The unaltered value, as the feature `injected-bugs` is off.
#[cfg(not(feature = "injected-bugs"))]
macro_rules! altered_by_bug {
    ($injection:expr, $hook:ident, $value:expr $(, $context:expr)*) => {
        $value
    };
}

pub(super) use {altered_by_bug, bug_injected};
