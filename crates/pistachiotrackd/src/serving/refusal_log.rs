//! Log line for each refusal: the VM that decided, the reason, and where the request had been
//! sent.

use std::fmt;

use pistachiotrack_core::{
    copies::CopyRecord,
    name::Name,
    refusal::{Execution, Refusal},
    time::Time,
};

use crate::serving::context::Context;

/// Recipient of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalRecipient {
    /// The caller.
    Caller,
    /// The VM that forwarded the request and may still serve it in another way.
    Peer,
}

impl RefusalRecipient {
    fn as_str(self) -> &'static str {
        match self {
            RefusalRecipient::Caller => "caller",
            RefusalRecipient::Peer => "vm",
        }
    }
}

/// Writes the log line of a refusal.
///
/// Every refusal must appear in a log, so that the trace of a refused request shows the decision.
/// The request handlers therefore write this line wherever they send a refusal.
pub(crate) fn on_refusal(
    context: &Context,
    request: &Name,
    received: Time,
    refusal: &Refusal,
    to: RefusalRecipient,
) {
    let now = context.clock.now();
    log::warn!(
        "event=refused request={request} to={} decided_by={} execution={} reason={} \
         retry_after_ms={:?} age_ms={} sent={}",
        to.as_str(),
        refusal.decider().unwrap_or(&context.me.name),
        refusal.execution().as_str(),
        refusal.reason().as_str(),
        refusal.retry_after_ms(),
        now.since(received).as_millis(),
        CopyList { copies: refusal.sent(), now }
    );
}

/// Formats copies as `NAME/EXECUTION/AGE_MS`, the first one first.
struct CopyList<'a> {
    copies: &'a [CopyRecord],
    now: Time,
}

impl fmt::Display for CopyList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.copies.is_empty() {
            return f.write_str("none");
        }
        for (index, CopyRecord { to, sent_at, is_not_run }) in self.copies.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            let execution = if *is_not_run { Execution::NotRun } else { Execution::Unknown };
            let age_ms = self.now.since(*sent_at).as_millis();
            write!(f, "{comma}{to}/{}/{age_ms}", execution.as_str())?;
        }
        Ok(())
    }
}
