//! What the actor reports to operators.

use actix::{Context, Handler, Message};

use crate::shell::Shell;

/// Asks for the state of the process in JSON.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "String")]
pub struct DumpWanted;

impl Handler<DumpWanted> for Shell {
    type Result = String;

    fn handle(&mut self, _: DumpWanted, _: &mut Context<Shell>) -> String {
        let dump = serde_json::to_string_pretty(&tier::dump(&self.state));
        dump.unwrap_or_else(|error| format!("{{\"error\": \"{error}\"}}"))
    }
}

/// Asks for the status of the process.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "StatusReport")]
pub struct StatusWanted;

/// The status of the process on its way between threads.
#[derive(Debug)]
#[derive(actix::MessageResponse)]
pub struct StatusReport(pub tier::Status);

impl Handler<StatusWanted> for Shell {
    type Result = StatusReport;

    fn handle(&mut self, _: StatusWanted, _: &mut Context<Shell>) -> StatusReport {
        StatusReport(tier::status(&self.state, (self.clock.now)()))
    }
}
