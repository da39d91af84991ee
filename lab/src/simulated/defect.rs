//! Defects that are deliberately injected into the gateways, to show that the rule checker detects them.

/// A defect to inject.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum InjectedDefect {
    /// Every nth final answer is not sent, where n is the value.
    LosesAnswers(u64),
    /// The first attempt of each request is immediately sent a second time.
    DuplicatesAttempts,
    /// Attempts that ended with a reset, a timeout or a server error are retried, even if the route does not allow
    /// retries.
    RetriesUnsafely,
    /// The controller receives no changes of the endpoint list, and every changed server counts as ready.
    IgnoresEndpointUpdates,
    /// Every attempt goes to the active server that started most recently.
    PrefersNewestServer,
    /// The controller receives each request with almost no units, so that it exceeds the quotas.
    UndercountsUnits,
}
