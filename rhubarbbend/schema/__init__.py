"""Thrift schemas: peers.thrift between instances, operators.thrift for operators."""
