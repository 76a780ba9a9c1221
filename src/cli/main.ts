#!/usr/bin/env node
import * as createContext from "./_lib/createContext.js";
import * as program from "./createProgram/index.js";

const context = createContext.createContext(process);
process.exitCode = await program.runProgram(process.argv.slice(2), context);
