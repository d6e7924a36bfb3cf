"""Messages and rows of the register encode to the bytes of earlier releases, which sent plain lists."""

import unittest

import msgspec

from flintreach.consensus.acceptor import NO_BALLOT, Ballot, Slot, Verdict
from flintreach.consensus.messages import (
    AcceptedValue,
    AcceptorAnswer,
    AcceptRequest,
    DiskStatus,
    EarlierEpoch,
    LaterEpoch,
    MessageKind,
    PrepareRequest,
    SlotBallots,
    ValueRequest,
    decode_acceptor_answer,
    decode_epoch_mismatch,
)
from flintreach.consensus.quorum import Voters

encode = msgspec.msgpack.encode
decode = msgspec.msgpack.decode

BALLOT = Ballot(5, "10.0.0.1:7")
VOTERS = Voters(3, ((("10.0.0.1", 7), "a0"),), ((("10.0.0.2", 8), ""),))
VOTERS_LIST = [3, [["10.0.0.1", 7, "a0"]], [["10.0.0.2", 8, ""]]]


class TestBytes(unittest.TestCase):
    def test_structs_encode_like_the_lists_of_earlier_releases(self) -> None:
        slot = Slot(BALLOT, NO_BALLOT, b"v")
        slot_list = [[5, "10.0.0.1:7"], [0, ""], b"v"]
        for struct, plain in (
            (PrepareRequest("k", BALLOT, 2), ["k", [5, "10.0.0.1:7"], 2]),
            (AcceptRequest("k", BALLOT, None, "a0", 2), ["k", [5, "10.0.0.1:7"], None, "a0", 2]),
            (AcceptorAnswer(Verdict.PROMISE, slot, "a0"), ["promise", slot_list, "a0"]),
            (AcceptorAnswer(Verdict.ABSTAIN, None, ""), ["mute", None, ""]),
            (SlotBallots(BALLOT, NO_BALLOT), [[5, "10.0.0.1:7"], [0, ""]]),
            (ValueRequest(2, "k"), [2, "k"]),
            (AcceptedValue(BALLOT, b"v"), [[5, "10.0.0.1:7"], b"v"]),
            (DiskStatus("a0", True), ["a0", True]),
            (LaterEpoch(VOTERS.row()), ["newer", VOTERS_LIST]),
            (EarlierEpoch(), ["behind"]),
            (VOTERS.row(), VOTERS_LIST),
            ({"k": BALLOT}, {"k": [5, "10.0.0.1:7"]}),
        ):
            self.assertEqual(encode(struct), encode(plain), plain)

    def test_kinds_and_verdicts_keep_the_values_of_earlier_releases(self) -> None:
        kinds = ["prepare", "accept", "slots", "stamps", "value", "voters", "disk", "sync", "start"]
        self.assertEqual(decode(encode([*MessageKind])), kinds)
        self.assertEqual(decode(encode([*Verdict])), ["promise", "accepted", "refused", "mute"])

    def test_voters_are_decoded_from_a_list_and_from_a_struct(self) -> None:
        self.assertEqual(Voters.from_row(VOTERS_LIST), VOTERS)
        self.assertEqual(Voters.from_row(VOTERS.row()), VOTERS)


class TestAnswers(unittest.TestCase):
    def test_an_acceptor_answer_is_decoded(self) -> None:
        answer = AcceptorAnswer(Verdict.REFUSED, Slot(BALLOT, NO_BALLOT, None), "a0")
        self.assertEqual(decode_acceptor_answer(decode(encode(answer))), answer)

    def test_a_malformed_answer_decodes_to_none(self) -> None:
        for answer in (True, {}, [], ["promise"], ["promise", [1, 2], "a0"], ["promise", None, "a0", 1]):
            self.assertIsNone(decode_acceptor_answer(answer), answer)

    def test_only_epoch_mismatches_are_decoded_as_such(self) -> None:
        for mismatch in (LaterEpoch(VOTERS.row()), EarlierEpoch()):
            self.assertEqual(decode_epoch_mismatch(decode(encode(mismatch))), mismatch)
        for answer in (None, True, [], ["promise", None, ""], {"newer": 1}):
            self.assertIsNone(decode_epoch_mismatch(answer), answer)


if __name__ == "__main__":
    unittest.main()
