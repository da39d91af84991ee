//! What every part of the controller is given.

use crate::port::Port;
use crate::settings::Settings;
use std::rc::Rc;
use std::time::Duration;

/// The settings, the time, and the port by which to act.
pub(super) struct Context {
    /// The settings as they are now.
    pub(super) settings: Rc<Settings>,
    /// The present, by the adapter's clock.
    pub(super) now: Duration,
    /// The adapter.
    pub(super) port: Box<dyn Port>,
}
