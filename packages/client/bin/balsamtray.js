#!/usr/bin/env node
import process from 'node:process';
import {runClient} from '../dist/main.js';

process.exitCode = await runClient(process.argv.slice(2), process.env);
