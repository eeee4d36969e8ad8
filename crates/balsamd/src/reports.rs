//! Messages that read the actor's state for the operators' port.

use actix::{Context, Handler, Message};

use crate::shell::Shell;

/// Returns the reducer's state as JSON.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "String")]
pub struct GetStateDump;

impl Handler<GetStateDump> for Shell {
    type Result = String;

    fn handle(&mut self, _: GetStateDump, _: &mut Context<Shell>) -> String {
        let dump = serde_json::to_string_pretty(&tier::dump(&self.state));
        dump.unwrap_or_else(|error| format!("{{\"error\": \"{error}\"}}"))
    }
}

/// Returns the status of the instance.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "StatusReport")]
pub struct GetStatus;

/// Response to [`GetStatus`]; the wrapper makes a status an actix response.
#[derive(Debug)]
#[derive(actix::MessageResponse)]
pub struct StatusReport(pub tier::Status);

impl Handler<GetStatus> for Shell {
    type Result = StatusReport;

    fn handle(&mut self, _: GetStatus, _: &mut Context<Shell>) -> StatusReport {
        StatusReport(tier::status(&self.state, (self.clock.now)()))
    }
}
