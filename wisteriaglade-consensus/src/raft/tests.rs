use std::{collections::BTreeMap, time::Duration};

use crate::{Config, Input, Output, Raft, Replica, Restored, Role};

/// Replicas whose messages arrive at once and whose storage never fails.
struct Group {
    now: Duration,
    rafts: BTreeMap<Replica, Raft>,
    committed: Vec<u64>,
}

impl Group {
    fn new(size: u64) -> Self {
        let members: Vec<_> = (1..=size).map(Replica::new).collect();
        let raft = |id: &Replica| {
            let config = Config::new(*id, members.clone());
            (*id, Raft::new(config, Restored::default(), Duration::ZERO))
        };
        Self {
            now: Duration::ZERO,
            rafts: members.iter().map(raft).collect(),
            committed: Vec::new(),
        }
    }

    fn feed(&mut self, to: Replica, input: Input) {
        let mut inputs = std::collections::VecDeque::from([(to, input)]);
        while let Some((to, input)) = inputs.pop_front() {
            let mut outputs = Vec::new();
            let raft = self.rafts.get_mut(&to).expect("a known replica");
            raft.step(self.now, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Send { to: next, message } => {
                        inputs.push_back((next, Input::Message { from: to, message }));
                    }
                    Output::Committed { ticket, .. } => self.committed.push(ticket),
                    _ => {}
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(10);
            for id in self.rafts.keys().copied().collect::<Vec<_>>() {
                self.feed(id, Input::Tick);
            }
        }
    }

    fn leader(&self) -> Replica {
        let mut leaders = self.rafts.iter().filter(|(_, r)| r.role() == Role::Leader);
        let leader = *leaders.next().expect("a leader").0;
        assert!(leaders.next().is_none(), "two leaders");
        leader
    }
}

/// Guards against a group that never elects a leader or never commits.
#[rstest::rstest]
#[case(1)]
#[case(3)]
#[case(5)]
fn commits(#[case] size: u64) {
    let mut group = Group::new(size);
    group.run(Duration::from_secs(2));
    let leader = group.leader();

    for ticket in 0..10 {
        let data = vec![0; 10].into();
        group.feed(leader, Input::Propose { ticket, data });
    }

    assert_eq!(group.committed, (0..10).collect::<Vec<_>>());
    for raft in group.rafts.values() {
        assert_eq!(raft.commit().get(), 11);
        assert_eq!(
            raft.contact(group.now).map(|c| c.as_millis() < 60),
            Some(true)
        );
    }
}
