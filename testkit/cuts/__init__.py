"""Real entry processes whose connections to each other are cut."""

from testkit.cuts._callers import Break
from testkit.cuts._day import Burst
from testkit.cuts._day import Drain
from testkit.cuts._day import EntryCut
from testkit.cuts._day import EntryKill
from testkit.cuts._day import LateMessages
from testkit.cuts._day import LateOrders
from testkit.cuts._day import LeaderCut
from testkit.cuts._day import Stall
from testkit.cuts._day import StoreCut
from testkit.cuts._day import TargetCrash
from testkit.cuts._day import TargetCut
from testkit.cuts._day import ZoneCut
from testkit.cuts._day_file import format_day
from testkit.cuts._day_file import load_day
from testkit.cuts._day_file import parse_day
from testkit.cuts._entry import use_cut_loop
from testkit.cuts._links import How
from testkit.cuts._links import LinkCut
from testkit.cuts._links import SiteLinks
from testkit.cuts._random_day import draw_day
from testkit.cuts._report import CutReport
from testkit.cuts._rows import LAPSE_S
from testkit.cuts._rows import LONGEST_RETURN_S
from testkit.cuts._rows import TargetRows
from testkit.cuts._run import CutOptions
from testkit.cuts._run import play_day
from testkit.cuts._sites import CutSite
from testkit.cuts._sites import SITES

__all__ = [
    "Break",
    "Burst",
    "CutOptions",
    "CutReport",
    "CutSite",
    "Drain",
    "EntryCut",
    "EntryKill",
    "How",
    "LAPSE_S",
    "LONGEST_RETURN_S",
    "LateMessages",
    "LateOrders",
    "LeaderCut",
    "Stall",
    "StoreCut",
    "TargetCrash",
    "TargetCut",
    "TargetRows",
    "ZoneCut",
    "draw_day",
    "format_day",
    "parse_day",
    "LinkCut",
    "SITES",
    "SiteLinks",
    "load_day",
    "play_day",
    "use_cut_loop",
]
