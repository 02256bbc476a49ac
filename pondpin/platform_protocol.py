"""Messages of the platform's read-only service, as the adapter and the stand-in speak it."""

import msgspec

REVISION_HEADER = "platform-revision"
# Rises with each restore of the platform from an older copy; absent: 0.
EPOCH_HEADER = "platform-epoch"
CONFIGURATION_PATH = "/v1/values/pondpin"
INSTANCES_PATH = "/v1/instances"


class ListedInstance(msgspec.Struct, frozen=True):
    """One entry of the list of live and leaving instances; address is the peer endpoint."""

    name: str
    kind: str
    address: str
    data_center: str
    state: str


class InstanceList(msgspec.Struct, frozen=True):
    """Answer of GET /v1/instances."""

    instances: tuple[ListedInstance, ...]
