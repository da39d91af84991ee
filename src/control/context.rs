//! The context that the controller passes to its modules.

use crate::port::Port;
use crate::settings::Settings;
use std::rc::Rc;
use std::time::Duration;

/// The current settings, the current time and the port to the adapter.
pub(super) struct Context {
    /// The current settings.
    pub(super) settings: Rc<Settings>,
    /// The current time, on the adapter's clock.
    pub(super) now: Duration,
    /// The port through which the controller acts on its adapter.
    pub(super) port: Box<dyn Port>,
}
