//! The test oracle: checks each dispatch and each final effect against the history of
//! what callers and targets observed.

use std::collections::{BTreeMap, BTreeSet};

use wisteriaglade_once::{Answer, Key, owner::Reason};
use wisteriaglade_types::Request;

use crate::fixtures;

/// The final effect of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Final {
    Acknowledge(Answer),
    Replay(Answer),
    Refuse(Reason),
    Unknown,
}

/// A request as its caller sent it.
#[derive(Debug)]
pub struct Sent {
    pub key: Key,
    /// The host that the request was sent to.
    pub node: usize,
    /// Whether the request reuses the key with another path than the one that ran.
    pub key_reused: bool,
    /// Whether a response for the key had been delivered when the request was sent.
    pub settled: bool,
}

/// The history of requests, runs and final effects.
#[derive(Debug, Default)]
pub struct Oracle {
    pub seed: u64,
    pub sent: BTreeMap<Request, Sent>,
    pub finals: BTreeMap<Request, Final>,
    /// The request that ran for each key, with its response.
    ran: BTreeMap<Key, (Request, Answer)>,
    /// The requests that were dispatched to the target.
    granted: BTreeSet<Request>,
    /// The responses delivered to callers, by acknowledgement or replay.
    acknowledged: BTreeMap<Key, Answer>,
}

impl Oracle {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    pub fn ask(&mut self, request: Request, key: Key, node: usize, key_reused: bool) {
        let settled = self.acknowledged.contains_key(&key);
        let sent = Sent {
            key,
            node,
            key_reused,
            settled,
        };
        self.sent.insert(request, sent);
    }

    /// Records and checks the dispatch of a request to the target, which sheds it or runs it.
    pub fn run(&mut self, request: Request, sheds: bool) {
        let seed = self.seed;
        let sent = &self.sent[&request];
        assert!(
            self.granted.insert(request),
            "seed {seed}: {request} granted twice"
        );
        let earlier = self.finals.get(&request);
        assert!(
            earlier.is_none(),
            "seed {seed}: {request} runs after {earlier:?}"
        );
        assert!(
            !sent.settled,
            "seed {seed}: {} runs after its answer",
            sent.key
        );
        if sheds {
            return;
        }
        let answer = answer(request);
        let former = self.ran.insert(sent.key.clone(), (request, answer));
        assert!(
            former.is_none(),
            "seed {seed}: {} runs again, before {former:?}",
            sent.key
        );
    }

    /// Records and checks the final effect of a request. `former` is set if the host no
    /// longer owns the shard in the log.
    pub fn end(&mut self, request: Request, outcome: Final, former: bool) {
        let seed = self.seed;
        let sent = &self.sent[&request];
        let context = format!("seed {seed}: {request} of {} got {outcome:?}", sent.key);
        let ran = self.ran.get(&sent.key);
        let refused = matches!(outcome, Final::Refuse(_));
        assert!(refused || !sent.key_reused, "{context}");
        match &outcome {
            Final::Acknowledge(answer) => {
                assert_eq!(ran, Some(&(request, answer.clone())), "{context}");
                self.acknowledged.insert(sent.key.clone(), answer.clone());
            }
            Final::Replay(answer) => {
                assert_eq!(ran.map(|(_, answer)| answer), Some(answer), "{context}");
                self.acknowledged.insert(sent.key.clone(), answer.clone());
            }
            Final::Refuse(_) => {
                let own = ran.is_some_and(|(first, _)| *first == request);
                assert!(!own, "{context}");
            }
            // A former owner may not know that the outcome reached a majority.
            Final::Unknown => assert!(former || !sent.settled, "{context}"),
        }
        let earlier = self.finals.insert(request, outcome);
        assert!(earlier.is_none(), "{context} after {earlier:?}");
    }

    pub fn keys(&self) -> BTreeSet<Key> {
        self.sent.values().map(|sent| sent.key.clone()).collect()
    }

    pub fn has_run(&self, key: &Key) -> bool {
        self.ran.contains_key(key)
    }

    pub fn never_ran(&self) -> Vec<Key> {
        let keys = self.keys().into_iter();
        keys.filter(|key| !self.has_run(key)).collect()
    }
}

/// The response of the target to a request, different for each request.
pub fn answer(request: Request) -> Answer {
    fixtures::answer(request.to_string().as_bytes())
}
