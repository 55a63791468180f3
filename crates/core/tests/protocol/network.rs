//! Steps of the model: links, message delivery and time.

use crate::model::{MessageToEntry, Model, node};
use burdockcleat_core::entry_agent::EntryInput;
use burdockcleat_core::keys::LinkKey;
use std::rc::Rc;

impl Model {
    pub fn link_up(&mut self, entry: usize, control: usize) {
        let key = LinkKey(self.next_link);
        self.next_link += 1;
        let link = &mut self.links[entry][control];
        (link.key, link.up) = (key, true);
        self.step_entry(entry, EntryInput::LinkUp { link: key }, false);
    }

    /// Takes a link down. The undelivered messages of the entry are lost, or stay for the control
    /// instance to read later.
    pub fn link_down(&mut self, entry: usize, control: usize, lose_messages: bool) {
        let link = &mut self.links[entry][control];
        link.up = false;
        link.to_entry.clear();
        let to_control = std::mem::take(&mut link.to_control);
        if !lose_messages {
            link.unread.extend(to_control);
        }
        let key = link.key;
        if self.entries[entry].alive {
            self.step_entry(entry, EntryInput::LinkDown { link: key }, false);
        }
        if link_is_drained(self, entry, control) {
            self.unlink(entry, control);
        }
    }

    /// Tells the leader that the link to an entry has ended.
    fn unlink(&mut self, entry: usize, control: usize) {
        let time = self.time();
        if let Some(leader) = &mut self.controls[control].leader {
            Rc::make_mut(&mut leader.admission).entry_disconnected(time, node(entry));
        }
    }

    pub fn deliver_to_control(&mut self, entry: usize, control: usize) {
        for _ in 0..self.messages_per_delivery() {
            let Some(message) = self.links[entry][control].to_control.pop_front() else { return };
            self.receive_control(control, entry, message);
        }
    }

    /// Returns the maximum number of messages in one delivery.
    fn messages_per_delivery(&self) -> usize {
        if self.setup.one_message_per_delivery { 1 } else { usize::MAX }
    }

    pub fn deliver_unread(&mut self, entry: usize, control: usize) {
        for _ in 0..self.messages_per_delivery() {
            let Some(message) = self.links[entry][control].unread.pop_front() else { break };
            self.receive_control(control, entry, message);
        }
        if link_is_drained(self, entry, control) {
            self.unlink(entry, control);
        }
    }

    pub fn deliver_to_entry(&mut self, entry: usize, control: usize) {
        if self.entries[entry].frozen {
            return;
        }
        let batch = self.messages_per_delivery();
        let link = &mut self.links[entry][control];
        let key = link.key;
        let count = link.to_entry.len().min(batch);
        for MessageToEntry { message, dispatched } in
            link.to_entry.drain(..count).collect::<Vec<_>>()
        {
            self.step_entry(entry, EntryInput::Receive { link: key, message }, dispatched);
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += ms;
        for control in 0..2 {
            let time = self.time_of(control);
            if self.controls[control].deposed {
                continue;
            }
            self.announce(control);
            if let Some(leader) = &mut self.controls[control].leader {
                Rc::make_mut(&mut leader.admission).tick(time, &leader.state);
                self.process_output(control);
            }
        }
        for entry in 0..2 {
            if self.entries[entry].alive && !self.entries[entry].frozen {
                self.step_entry(entry, EntryInput::Tick, false);
            }
        }
    }

    /// Delivers messages and commits proposals until there are none left.
    pub fn deliver_all(&mut self) {
        // The limit detects state machines that answer each other without end.
        for _ in 0..200 {
            let mut moved = false;
            for control in 0..2 {
                for entry in 0..2 {
                    let link = &self.links[entry][control];
                    moved |= !link.unread.is_empty() || !link.to_control.is_empty();
                    moved |= !link.to_entry.is_empty() && !self.entries[entry].frozen;
                    self.deliver_unread(entry, control);
                    self.deliver_to_control(entry, control);
                    self.deliver_to_entry(entry, control);
                }
                let leads = !self.controls[control].deposed;
                let pending = self.controls[control].leader.as_ref();
                if leads && pending.is_some_and(|leader| !leader.pending.is_empty()) {
                    self.commit(control, 1);
                    moved = true;
                }
            }
            if !moved {
                return;
            }
        }
        panic!("messages or proposals are still left after 200 rounds");
    }
}

/// Returns whether a link is down and the control instance has read all its messages.
fn link_is_drained(model: &Model, entry: usize, control: usize) -> bool {
    let link = &model.links[entry][control];
    !link.up && link.unread.is_empty()
}
