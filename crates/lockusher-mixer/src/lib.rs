//! The mixer on sockets, by layers: [`transport`] moves bytes, [`protocol`] turns them into typed values and
//! back, [`routing`] owns the decision module; the program's own concerns are [`config`], [`clock`] and
//! [`report`].

pub mod clock;
pub mod config;
pub mod protocol;
pub mod report;
pub mod routing;
pub mod transport;
