"""Entry process, which accepts requests over HTTP and forwards them to agents."""

from boragespring.entry.daemon import EntryDaemon

__all__ = ["EntryDaemon"]
