#!/usr/bin/env node
import { runLimelead } from '@limelead/cli';

await runLimelead(process.argv);
