package frontend
