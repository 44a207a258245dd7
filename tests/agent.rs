//! Pushed lists, which come over a watch on the machine's own agent: what the agent has counts as reported to
//! the dispatcher, watched or not, and from its start on. So nothing may be sent while there is no watch.

mod common;

use common::*;
use sablerun::*;

fn subscriptions(world: &World) -> usize {
    world.log.iter().filter(|(_, action)| *action == Action::Subscribe).count()
}

/// Nothing is sent before the agent's first list, nor between the loss of a watch and the next list. The
/// agent serves no other dispatcher, so it is called at once, in a fleet of any size.
#[test]
fn nothing_is_sent_while_the_agent_is_not_watched() {
    for dispatchers in [1, 300] {
        let settings = Settings { discovery: Discovery::Agent, dispatchers, ..settings() };
        let mut world = World::new(settings, 41);
        world.list(ListKind::Saved, Vec::new());
        world.arrive(0, 0);
        world.advance(ms(200));
        assert_eq!((subscriptions(&world), world.sends().len()), (1, 0), "of {dispatchers}");
        world.list(ListKind::Full, vec![worker(0)]);
        world.arrive(1, 0);
        world.advance(ms(20));
        assert!(!world.sends().is_empty(), "the list is known");
        for (n, event) in [(2, Event::ListFailed), (3, Event::ListSilent)] {
            serve(&mut world, Span(0));
            let sent = world.sends().len();
            world.deliver(event);
            world.arrive(n, 0);
            world.advance(ms(200));
            assert_eq!((subscriptions(&world), world.sends().len()), (n as usize, sent), "of {dispatchers}");
            world.list(ListKind::Delta, Vec::new());
            assert_eq!(world.sends().len(), sent + 1, "the list is known again");
        }
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}
