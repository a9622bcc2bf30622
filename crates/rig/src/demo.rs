//! The demonstration in the README: stand-in hosts, a dispatcher, one streamed question in Thai.

use crate::client::{self, ClientOptions, Request};
use crate::fleet::{self, Fleet};
use std::io::{self, Write};
use tulipstall_dispatcher::Dispatcher;
use tulipstall_judge::{Answer, HostEventKind};
use tulipstall_net::spawn;
use tulipstall_standin::text;

/// Runs the demonstration and writes what happens. Fails if the answer is not the expected one.
pub fn run(out: &mut impl Write) -> io::Result<()> {
    let fleet = Fleet::start(&fleet::small())?;
    let dispatcher = Dispatcher::start(fleet::settings("demo"), None)?;
    dispatcher.apply_host_list(&fleet.list());
    writeln!(out, "dispatcher on {}, hosts:", dispatcher.address())?;
    for host in &fleet.hosts {
        writeln!(out, "  {} {} in {}", host.name, fleet::kind(host.spec.role), host.spec.zone)?;
    }
    let mut request =
        Request::new("chat-reply", "เรือไปเกาะเต่ารอบเช้าถูกยกเลิก ขอคืนเงินได้ไหม [[len:12]] [[task:demo]]");
    request.system = "คุณช่วยผู้โดยสารเรือเฟอร์รี่ ตอบสั้นและสุภาพ ".repeat(20);
    let address = dispatcher.address();
    let response = {
        let request = request.clone();
        let client = spawn(move || client::send_request(address, &request, ClientOptions::default()));
        client.join().map_err(|_| io::Error::other("the client failed"))?
    };
    for event in &response.events {
        writeln!(out, "event: {}\n  {}", event.name, event.data)?;
    }
    writeln!(out, "answer ({}): {}", response.stop_reason, response.text)?;
    for line in fleet.log.events() {
        match line.kind {
            HostEventKind::Read => writeln!(out, "read by {}", line.host)?,
            HostEventKind::StateTaken(_) => writeln!(out, "state fetched from {}", line.host)?,
            HostEventKind::Ran => writeln!(out, "written by {}", line.host)?,
            _ => {}
        }
    }
    let body = request.body();
    let prompt =
        tulipstall_messages::parse(body.as_bytes()).map_err(|error| io::Error::other(error.message))?;
    let wanted = text::answer(&prompt.prompt, 12);
    if response.answer != Answer::Delivered || response.text != wanted {
        return Err(io::Error::other(format!("{:?}: not the answer that the writer gave", response.answer)));
    }
    writeln!(out, "delivered whole in {} ms", response.took.as_millis())
}
