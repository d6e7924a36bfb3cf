"""The program that carries traffic: it takes requests of clients and brings them to endpoints."""
