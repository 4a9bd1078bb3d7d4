"""Votes of a cell: who becomes a voter, and who stays one."""

from typing import TYPE_CHECKING

from logbook import Logger

from knapweedrock.errors import PlatformError
from knapweedrock.nodes.cell import VoterRecord, choose_voter_change
from knapweedrock.nodes.office import name_voter
from knapweedrock.nodes.roster import Roster

if TYPE_CHECKING:
    from knapweedrock.environment import Environment
    from knapweedrock.nodes.coordinator import Term

VOTER_GONE_MS = 1500

log = Logger("votes")


def tend_voters(env: "Environment", term: "Term") -> None:
    """Replace voters that are gone, and add some up to an odd number."""
    if env.clock.now_ns() < term.roster.inherited_until_ns:
        return
    voters = term.office.record["voters"]
    candidates = {
        **list_kept(voters, term.roster, env.settings.node_id),
        **list_candidates(env, term.roster),
    }
    change = choose_voter_change(voters, candidates, env.settings.node_id)
    if change is None or not env.coordinator.platform_ok:
        return
    try:
        written = term.office.write_voters(change)
    except PlatformError:
        written = False
    if not written:
        env.counters.count("voter_writes_failed")
        return
    term.publish()
    log.info("voters changed voters={}", sorted(term.office.record["voters"]))


def list_candidates(env: "Environment", roster: Roster) -> dict[str, VoterRecord]:
    """List the living members that stay and may become voters.

    Candidates for office leave out the voters that were declared lost for as long as
    the configuration names them, so none of these may count for a coordinator.
    """
    lost = set(env.configuration.list_lost_voters(env.settings.cell))
    candidates: dict[str, VoterRecord] = {
        name: {"peer": entry.member["peer"], "zone": entry.member["zone"]}
        for name, entry in roster.entries.items()
        if entry.heard_ns and entry.member["state"] != "leaving"
    }
    return {
        name: voter
        for name, voter in candidates.items()
        if name_voter(name, voter) not in lost
    }


def list_kept(
    voters: dict[str, VoterRecord], roster: Roster, own: str
) -> dict[str, VoterRecord]:
    """List the coordinator `own`, and voters that were silent for a short time only."""
    return {
        name: voter
        for name, voter in voters.items()
        if name == own
        or (name not in roster.entries and roster.find_silence_ms(name) < VOTER_GONE_MS)
    }
