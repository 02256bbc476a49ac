"""Messages between entry instances; peer_pb2 and peer_grpc are generated from peer.proto."""
