//! Defects that the program is given on purpose, to show that the rule checker can fail a run.

/// One defect of the program.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum InjectedDefect {
    /// One final answer of so many is not given.
    LosesAnswers(u64),
    /// The first attempt of a request is sent twice at once.
    DuplicatesAttempts,
    /// What broke is sent again, whatever the route says of repeats.
    RetriesUnsafely,
    /// Changes of the endpoint list are not heard.
    IgnoresEndpointUpdates,
    /// Every attempt goes to the server that started last.
    PrefersNewestServer,
    /// The controller is told of next to no units, so that it keeps no ceiling.
    UndercountsUnits,
}
